package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Holds the claims of this VM that wait for the log's decision.
 *
 * <p>Invariants: each claim is answered once; a claim that was answered as not run is never
 * answered as granted afterwards, whatever the log decides. Not thread-safe; guarded by the
 * ledger's lock.
 */
final class PendingClaims {
    private final Predicate<VmId> mIsGone;
    private final Deque<PendingClaim> mPending = new ArrayDeque<>();

    /** A claim with its deadline and its callback. */
    static final class PendingClaim {
        private final Claim mClaim;
        private final long mDeadlineMs;
        private final BiConsumer<Long, Either<Failure, ClaimOutcome>> mDone;
        private boolean mAnswered;

        private PendingClaim(
                Claim claim,
                long deadlineMs,
                BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
            mClaim = claim;
            mDeadlineMs = deadlineMs;
            mDone = done;
        }
    }

    /**
     * Creates an empty table.
     *
     * @param isGone whether a VM's incarnation is known to have ended
     */
    PendingClaims(Predicate<VmId> isGone) {
        mIsGone = isGone;
    }

    /** Adds a claim; claims must be added in the order of their deadlines. */
    PendingClaim add(
            Claim claim, long deadlineMs, BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
        PendingClaim pending = new PendingClaim(claim, deadlineMs, done);
        mPending.addLast(pending);
        return pending;
    }

    /** Answers a claim according to the decision of the log, unless it was answered before. */
    void onDecision(
            long nowMs, PendingClaim pending, EntryDecision decision, AfterUnlockActions deferred) {
        if (pending.mAnswered) {
            return;
        }
        pending.mAnswered = true;
        Either<Failure, ClaimOutcome> answer = ClaimOutcomeMapper.toOutcome(decision, mIsGone);
        deferred.add(() -> pending.mDone.accept(nowMs, answer));
    }

    /**
     * Answers the claims past their deadline as not run and returns them, so that they are
     * withdrawn.
     */
    List<Claim> expire(long nowMs, AfterUnlockActions deferred) {
        List<Claim> expired = new ArrayList<>();
        while (!mPending.isEmpty()) {
            PendingClaim first = mPending.peekFirst();
            if (!first.mAnswered && first.mDeadlineMs > nowMs) {
                break;
            }
            mPending.removeFirst();
            if (first.mAnswered) {
                continue;
            }
            first.mAnswered = true;
            expired.add(first.mClaim);
            Failure timeout =
                    Failure.of(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "the call could not be claimed in time; it did not run");
            deferred.add(() -> first.mDone.accept(nowMs, Either.left(timeout)));
        }
        return expired;
    }
}
