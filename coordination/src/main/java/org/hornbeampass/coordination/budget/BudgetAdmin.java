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
 * Executes operators' commands on budgets: top-ups, changes of the paid tokens, statements and
 * audits.
 *
 * <p>Invariant: each change takes effect at most once, and a command that ends without a reply can
 * be repeated unchanged. Works on the platform's records alone, so no VM that serves requests is
 * needed. Thread-safe; callbacks run with no lock held.
 */
public final class BudgetAdmin {
    private static final int MAX_TOP_UP_ID = 128;

    private final VmId mSelf;
    private final Platform mPlatform;
    private final AtomicLong mChangeSequence = new AtomicLong();

    /**
     * Creates the commands of one VM.
     *
     * @param self this VM and its incarnation, which identifies the changes that it writes
     * @param platform the platform
     */
    public BudgetAdmin(VmId self, Platform platform) {
        mSelf = self;
        mPlatform = platform;
    }

    /**
     * Adds tokens to a budget, once for each top-up id.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget, which need not exist yet
     * @param topUpId the idempotency key that the operator chose for the top-up: letters, digits,
     *     '-', '_' and '.'
     * @param tokens the tokens to add, at least 1
     * @param done receives the statement after the top-up, or one of these errors: {@code
     *     FIELD_INVALID}; {@code IDEMPOTENCY_KEY_REUSED} if the id was used with another number of
     *     tokens; {@code OVERLOADED}; {@code PLATFORM_UNAVAILABLE}, after which the same call can
     *     be repeated
     */
    public void topUp(
            long nowMs,
            BudgetKey key,
            String topUpId,
            long tokens,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        Optional<Failure> invalid =
                BudgetFailures.checkTokens(tokens).or(() -> checkTopUpId(topUpId));
        if (invalid.isPresent()) {
            done.accept(nowMs, Either.left(invalid.get()));
            return;
        }
        new TopUp(
                        mPlatform,
                        key,
                        topUpId,
                        tokens,
                        (atMs, added) -> {
                            if (added.isLeft()) {
                                done.accept(atMs, Either.left(added.getLeft()));
                            } else {
                                statement(atMs, key, done);
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
     * Sets the paid tokens of a budget. If holders have drawn more than the new value, the paid
     * tokens are lowered step by step as the holders return tokens.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param newPaid the new number of paid tokens, at least 0
     * @param done receives the statement after the change. While holders still hold more than the
     *     new value, its {@code target} is present and its {@code outstanding} lists the tokens of
     *     each holder. Errors as for {@link #topUp}.
     */
    public void setPaid(
            long nowMs,
            BudgetKey key,
            long newPaid,
            BiConsumer<Long, Either<Failure, BudgetStatement>> done) {
        changePaid(nowMs, key, newPaid, false, OptionalLong.empty(), done);
    }

    /**
     * Sets the paid tokens of a budget as {@link #setPaid(long, BudgetKey, long, BiConsumer)} does,
     * if the paid tokens still have the expected value; fails with {@code REVISION_CONFLICT}
     * otherwise.
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
     * Lowers the paid tokens of a budget, but never below the tokens drawn by holders. Works as
     * {@link #setPaid} does, but rejects a value that is not lower with {@code FIELD_INVALID}.
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
        String changeId = mSelf + ":" + mChangeSequence.incrementAndGet();
        new LedgerEdit(
                        mPlatform,
                        key.organisation(),
                        record ->
                                applyChange(
                                        record, key, newPaid, onlyLower, expectedPaid, changeId),
                        (atMs, record) -> done.accept(atMs, record.map(r -> statementOf(key, r))))
                .start(nowMs);
    }

    private static Either<Failure, Optional<LedgerRecord>> applyChange(
            LedgerRecord record,
            BudgetKey key,
            long newPaid,
            boolean onlyLower,
            OptionalLong expectedPaid,
            String changeId) {
        BudgetRecord budget = record.budget(key.budget());
        if (budget.changes().contains(changeId)) {
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
                Optional.of(record.with(key.budget(), budget.withPaid(newPaid, changeId))));
    }

    /**
     * Reads the statements of all budgets of an organisation.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation
     * @param done receives one statement for each budget, sorted by budget name; or {@code
     *     PLATFORM_UNAVAILABLE}
     */
    public void statement(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<BudgetStatement>>> done) {
        readRecord(
                nowMs,
                organisation,
                (atMs, record) -> done.accept(atMs, record.map(r -> statements(organisation, r))));
    }

    /**
     * Checks the invariants of the platform's record of an organisation's budgets.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation
     * @param done receives the violations found, an empty list if there are none; or {@code
     *     PLATFORM_UNAVAILABLE}
     */
    public void auditLedger(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, List<LedgerFinding>>> done) {
        readRecord(
                nowMs,
                organisation,
                (atMs, record) -> done.accept(atMs, record.map(r -> audit(organisation, r))));
    }

    /** Returns the violated invariants of a record. */
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
                (atMs, record) -> done.accept(atMs, record.map(r -> statementOf(key, r))));
    }

    private void readRecord(
            long nowMs,
            OrganisationId organisation,
            BiConsumer<Long, Either<Failure, LedgerRecord>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(LedgerSync.objectKey(organisation)),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        done.accept(atMs, Json.decode(found.object().value(), LedgerRecord.class));
                    } else if (reply instanceof PlatformReply.Missing) {
                        done.accept(atMs, Either.right(LedgerRecord.empty()));
                    } else {
                        done.accept(atMs, Either.left(LedgerEdit.unavailable()));
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
