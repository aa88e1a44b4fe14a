package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * The operators' side of the budgets: top-ups, lowering, statements and the audit.
 *
 * <p>Invariant: each change takes effect at most once, and a command that ends without a reply may
 * be repeated as it was. Needs no VM that serves requests. Thread-safe; callbacks run with no lock
 * held.
 */
public final class BudgetAdmin {
    private static final int MAX_TOP_UP_ID = 128;

    private final VmId mSelf;
    private final Platform mPlatform;
    private final AtomicLong mChangeSequence = new AtomicLong();

    /**
     * Creates the operators' side on one VM.
     *
     * @param self this VM and its incarnation, which marks its changes
     * @param platform the platform
     */
    public BudgetAdmin(VmId self, Platform platform) {
        mSelf = self;
        mPlatform = platform;
    }

    /**
     * Adds tokens to a budget, once for each id.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget, which need not exist yet
     * @param topUpId the operator's name for the top-up: letters, digits, '-', '_' and '.'
     * @param tokens what to add, from 1
     * @param done takes the statement after it; or {@code FIELD_INVALID}, {@code
     *     IDEMPOTENCY_KEY_REUSED} where the id was used with other tokens, {@code OVERLOADED}, or
     *     {@code PLATFORM_UNAVAILABLE}, after which the same call may be repeated
     */
    public void topUp(
            long nowMs,
            BudgetKey key,
            String topUpId,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        Optional<Failure> wrong =
                BudgetFailures.checkTokens(tokens).or(() -> checkTopUpId(topUpId));
        if (wrong.isPresent()) {
            done.accept(nowMs, Either.left(wrong.get()));
            return;
        }
        new TopUp(
                        mPlatform,
                        key,
                        topUpId,
                        tokens,
                        (at, added) -> {
                            if (added.isLeft()) {
                                done.accept(at, Either.left(added.getLeft()));
                            } else {
                                statement(at, key, done);
                            }
                        })
                .start(nowMs);
    }

    private static Optional<Failure> checkTopUpId(String topUpId) {
        if (topUpId.length() <= MAX_TOP_UP_ID && topUpId.matches("[A-Za-z0-9_.-]+")) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.FIELD_INVALID,
                        "top-up id must be 1 to "
                                + MAX_TOP_UP_ID
                                + " letters, digits, '-', '_' or '.'"));
    }

    /**
     * Sets what is paid for a budget; below what is granted it is lowered as holders return.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param newPaid what is to be paid, from 0
     * @param done takes the statement after it, whose {@code target} is present while holders still
     *     hold more, with what is outstanding at which; failures as {@link #topUp}
     */
    public void setPaid(
            long nowMs,
            BudgetKey key,
            long newPaid,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        changePaid(nowMs, key, newPaid, false, OptionalLong.empty(), done);
    }

    /**
     * Sets what is paid for a budget, as {@link #setPaid(long, BudgetKey, long, BiConsumer)}, but
     * only where what is paid now is as expected; {@code REVISION_CONFLICT} where it is not.
     */
    public void setPaid(
            long nowMs,
            BudgetKey key,
            long newPaid,
            long expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        changePaid(nowMs, key, newPaid, false, OptionalLong.of(expectedPaid), done);
    }

    /**
     * Lowers what is paid for a budget, never below what is granted; as {@link #setPaid}, but a
     * value that is not lower is refused with {@code FIELD_INVALID}.
     */
    public void lowerPaid(
            long nowMs,
            BudgetKey key,
            long newPaid,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        changePaid(nowMs, key, newPaid, true, OptionalLong.empty(), done);
    }

    private void changePaid(
            long nowMs,
            BudgetKey key,
            long newPaid,
            boolean onlyLower,
            OptionalLong expectedPaid,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        if (newPaid < 0 || newPaid > BudgetRecord.MAX_TOKENS) {
            done.accept(
                    nowMs,
                    Either.left(
                            Failure.of(
                                    ErrorKind.FIELD_INVALID,
                                    "paid must be from 0 to " + BudgetRecord.MAX_TOKENS)));
            return;
        }
        String stamp = mSelf + ":" + mChangeSequence.incrementAndGet();
        new LedgerEdit(
                        mPlatform,
                        key.organisation(),
                        record -> applyChange(record, key, newPaid, onlyLower, expectedPaid, stamp),
                        (at, record) -> done.accept(at, record.map(r -> statementOf(key, r))))
                .start(nowMs);
    }

    private static Either<Failure, Optional<LedgerRecord>> applyChange(
            LedgerRecord record,
            BudgetKey key,
            long newPaid,
            boolean onlyLower,
            OptionalLong expectedPaid,
            String stamp) {
        BudgetRecord budget = record.budget(key.budget());
        if (budget.changes().contains(stamp)) {
            return Either.right(Optional.empty());
        }
        if (expectedPaid.isPresent() && expectedPaid.getAsLong() != budget.paid()) {
            return Either.left(
                    Failure.of(
                            ErrorKind.REVISION_CONFLICT,
                            budget.paid()
                                    + " tokens are paid for budget "
                                    + key
                                    + ", not "
                                    + expectedPaid.getAsLong()
                                    + ": it was changed meanwhile; read it again and decide"));
        }
        if (onlyLower && newPaid >= budget.target().orElse(budget.paid())) {
            return Either.left(
                    Failure.of(
                            ErrorKind.FIELD_INVALID,
                            newPaid
                                    + " is not below the "
                                    + budget.target().orElse(budget.paid())
                                    + " tokens paid for budget "
                                    + key
                                    + "; top up to raise it"));
        }
        return Either.right(
                Optional.of(record.with(key.budget(), budget.withPaid(newPaid, stamp))));
    }

    /**
     * Reads where an organisation's tokens are.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation
     * @param done takes one statement for each budget, in the order of names
     */
    public void statement(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetStatement>>> done) {
        readRecord(
                nowMs,
                organisation,
                (at, record) -> done.accept(at, record.map(r -> statements(organisation, r))));
    }

    /**
     * Checks the invariants of the platform's record of an organisation's budgets.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation
     * @param done takes the breaches found, none where all is well
     */
    public void auditLedger(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<LedgerFinding>>> done) {
        readRecord(
                nowMs,
                organisation,
                (at, record) -> done.accept(at, record.map(r -> audit(organisation, r))));
    }

    /** Returns the breaches of a record. */
    static List<LedgerFinding> audit(OrganisationId organisation, LedgerRecord record) {
        List<LedgerFinding> findings = new ArrayList<>();
        for (Map.Entry<BudgetId, BudgetRecord> each : record.budgets().entrySet()) {
            BudgetKey key = new BudgetKey(organisation, each.getKey());
            for (LedgerCheck check : LedgerCheck.values()) {
                check.findBreach(key, each.getValue())
                        .ifPresent(d -> findings.add(new LedgerFinding(key, check, d)));
            }
        }
        return findings;
    }

    private void statement(
            long nowMs, BudgetKey key, BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        readRecord(
                nowMs,
                key.organisation(),
                (at, record) -> done.accept(at, record.map(r -> statementOf(key, r))));
    }

    private void readRecord(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, LedgerRecord>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(LedgerSync.objectKey(organisation)),
                (at, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        done.accept(at, Json.decode(found.object().value(), LedgerRecord.class));
                    } else if (reply instanceof PlatformReply.Missing) {
                        done.accept(at, Either.right(LedgerRecord.empty()));
                    } else {
                        done.accept(at, Either.left(LedgerEdit.unavailable()));
                    }
                });
    }

    private static BudgetStatement statementOf(BudgetKey key, LedgerRecord record) {
        return BudgetStatement.of(key, record.budget(key.budget()));
    }

    private static List<BudgetStatement> statements(
            OrganisationId organisation, LedgerRecord record) {
        return record.budgets().keySet().stream()
                .map(id -> statementOf(new BudgetKey(organisation, id), record))
                .toList();
    }
}
