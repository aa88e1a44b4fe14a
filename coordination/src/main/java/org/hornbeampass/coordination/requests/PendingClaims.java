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
 * The claims of this VM that wait for their decision.
 *
 * <p>Invariants: each claim is answered once; one that was answered as not run is never answered as
 * granted afterwards, whatever the log decides. Not thread-safe; the ledger's lock guards it.
 */
final class PendingClaims {
    private final Predicate<VmId> mIsGone;
    private final Deque<PendingClaim> mPending = new ArrayDeque<>();

    /** A claim that may time out. */
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

    /** Creates a table in which nothing waits. */
    PendingClaims(Predicate<VmId> provedGone) {
        mIsGone = provedGone;
    }

    /** Adds a claim; deadlines must be added in their order. */
    PendingClaim add(
            Claim claim, long deadlineMs, BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
        PendingClaim waiting = new PendingClaim(claim, deadlineMs, done);
        mPending.addLast(waiting);
        return waiting;
    }

    /** Answers a claim with the log's decision, unless it was answered before. */
    void onDecision(
            long nowMs, PendingClaim waiting, EntryDecision decision, DeferredActions deferred) {
        if (waiting.mAnswered) {
            return;
        }
        waiting.mAnswered = true;
        Either<Failure, ClaimOutcome> answer = ClaimOutcomeMapper.toOutcome(decision, mIsGone);
        deferred.add(() -> waiting.mDone.accept(nowMs, answer));
    }

    /** Answers claims past their deadline as not run; returns them, to be withdrawn. */
    List<Claim> expire(long nowMs, DeferredActions deferred) {
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
            Failure late =
                    Failure.of(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "the call could not be claimed in time; it did not run");
            deferred.add(() -> first.mDone.accept(nowMs, Either.left(late)));
        }
        return expired;
    }
}
