package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Adds one top-up to a budget exactly once, even if it is repeated by several operators and replies
 * are lost.
 *
 * <p>Invariants: the top-up's own object is created first and kept forever. The record contains the
 * top-up's id from the write that adds the tokens until the object is known to say {@code added}.
 * The record is read before the object. If the object then does not say {@code added} and the
 * record does not contain the id, no write up to that version of the record added the tokens, and a
 * later write makes the conditional update fail. Each instance is used once; its callbacks may run
 * on any thread, one after the other.
 */
final class TopUp {
    private static final int MAX_ATTEMPTS = 12;
    private static final int MAX_OPEN_TOP_UPS = 256;

    private final Platform mPlatform;
    private final BudgetKey mKey;
    private final String mTopUpId;
    private final long mTokens;
    private final String mObjectKey;
    private final BiConsumer<Long, Either<Failure, Boolean>> mDone;
    private int mAttempts;

    /**
     * Creates a top-up.
     *
     * @param done receives true if this run added the tokens, false if an earlier one did; or an
     *     error
     */
    TopUp(
            Platform platform,
            BudgetKey key,
            String id,
            long tokens,
            BiConsumer<Long, Either<Failure, Boolean>> done) {
        mPlatform = platform;
        mKey = key;
        mTopUpId = id;
        mTokens = tokens;
        mObjectKey = TopUpRecord.key(key, id);
        mDone = done;
    }

    /** Creates the top-up's object or reads the existing one, then adds the tokens. */
    void start(long nowMs) {
        if (attemptsExhausted(nowMs)) {
            return;
        }
        String value = Json.encode(new TopUpRecord(mTokens, false));
        mPlatform.submit(nowMs, new PlatformCall.Create(mObjectKey, value), this::onCreated);
    }

    private boolean attemptsExhausted(long nowMs) {
        if (++mAttempts <= MAX_ATTEMPTS) {
            return false;
        }
        fail(nowMs, LedgerEdit.unavailable());
        return true;
    }

    private void fail(long nowMs, Failure failure) {
        mDone.accept(nowMs, Either.left(failure));
    }

    private void onCreated(long nowMs, PlatformReply reply) {
        if (reply instanceof PlatformReply.Written) {
            readLedger(nowMs);
            return;
        }
        if (reply instanceof PlatformReply.Conflict conflict && conflict.current().isPresent()) {
            onObject(nowMs, conflict.current().get(), Optional.empty());
            return;
        }
        start(nowMs);
    }

    private void readLedger(long nowMs) {
        if (attemptsExhausted(nowMs)) {
            return;
        }
        PlatformCall get = new PlatformCall.Get(LedgerSync.objectKey(mKey.organisation()));
        mPlatform.submit(nowMs, get, this::onLedger);
    }

    private void onLedger(long nowMs, PlatformReply reply) {
        boolean read =
                reply instanceof PlatformReply.Found || reply instanceof PlatformReply.Missing;
        if (!read) {
            readLedger(nowMs);
            return;
        }
        PlatformCall get = new PlatformCall.Get(mObjectKey);
        mPlatform.submit(
                nowMs,
                get,
                (at, object) -> {
                    if (object instanceof PlatformReply.Found found) {
                        onObject(at, found.object(), Optional.of(reply));
                    } else {
                        readLedger(at);
                    }
                });
    }

    private void onObject(long nowMs, StoredObject object, Optional<PlatformReply> ledger) {
        Either<Failure, TopUpRecord> decoded = Json.decode(object.value(), TopUpRecord.class);
        if (decoded.isLeft()) {
            fail(nowMs, decoded.getLeft());
            return;
        }
        if (decoded.get().tokens() != mTokens) {
            fail(
                    nowMs,
                    Failure.of(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "top-up "
                                    + mTopUpId
                                    + " of budget "
                                    + mKey
                                    + " was requested before with "
                                    + decoded.get().tokens()
                                    + " tokens; use a new id for another top-up"));
            return;
        }
        if (decoded.get().added()) {
            mDone.accept(nowMs, Either.right(false));
            return;
        }
        if (ledger.isEmpty()) {
            readLedger(nowMs);
            return;
        }
        add(nowMs, object, ledger.get());
    }

    private void add(long nowMs, StoredObject object, PlatformReply ledger) {
        Either<Failure, LedgerRecord> decoded =
                ledger instanceof PlatformReply.Found found
                        ? Json.decode(found.object().value(), LedgerRecord.class)
                        : Either.right(LedgerRecord.empty());
        if (decoded.isLeft()) {
            fail(nowMs, decoded.getLeft());
            return;
        }
        BudgetRecord budget = decoded.get().budget(mKey.budget());
        if (budget.openTopUps().contains(mTopUpId)) {
            markAdded(nowMs, object, false);
            return;
        }
        Optional<Failure> invalid = checkLimits(budget);
        if (invalid.isPresent()) {
            fail(nowMs, invalid.get());
            return;
        }
        LedgerRecord next = decoded.get().with(mKey.budget(), budget.withTopUp(mTopUpId, mTokens));
        String ledgerKey = LedgerSync.objectKey(mKey.organisation());
        String value = Json.encode(next);
        PlatformCall call =
                ledger instanceof PlatformReply.Found found
                        ? new PlatformCall.Update(ledgerKey, value, found.object().version())
                        : new PlatformCall.Create(ledgerKey, value);
        mPlatform.submit(
                nowMs,
                call,
                (at, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        markAdded(at, object, true);
                    } else {
                        readLedger(at);
                    }
                });
    }

    private Optional<Failure> checkLimits(BudgetRecord budget) {
        if (budget.paid() > BudgetRecord.MAX_TOKENS - mTokens) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.FIELD_INVALID,
                            "budget "
                                    + mKey
                                    + " would exceed "
                                    + BudgetRecord.MAX_TOKENS
                                    + " tokens; use a smaller top-up"));
        }
        if (budget.openTopUps().size() >= MAX_OPEN_TOP_UPS) {
            return Optional.of(
                    Failure.retryAfter(
                            ErrorKind.OVERLOADED,
                            "too many top-ups of budget " + mKey + " are in progress; retry later",
                            1_000));
        }
        return Optional.empty();
    }

    /**
     * Records in the object that the tokens are added. From then on the top-up can't be added
     * again, even without its id in the record.
     */
    private void markAdded(long nowMs, StoredObject object, boolean byThisRun) {
        String value = Json.encode(new TopUpRecord(mTokens, true));
        mPlatform.submit(
                nowMs,
                new PlatformCall.Update(mObjectKey, value, object.version()),
                (at, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        removeOpenId(at, byThisRun);
                    } else {
                        mDone.accept(at, Either.right(byThisRun));
                    }
                });
    }

    private void removeOpenId(long nowMs, boolean byThisRun) {
        new LedgerEdit(
                        mPlatform,
                        mKey.organisation(),
                        record -> Either.right(withoutOpenId(record)),
                        (at, ignored) -> mDone.accept(at, Either.right(byThisRun)))
                .start(nowMs);
    }

    private Optional<LedgerRecord> withoutOpenId(LedgerRecord record) {
        BudgetRecord budget = record.budget(mKey.budget());
        if (!budget.openTopUps().contains(mTopUpId)) {
            return Optional.empty();
        }
        return Optional.of(record.with(mKey.budget(), budget.withoutTopUps(Set.of(mTopUpId))));
    }
}
