package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The moves of one budget between this VM and its peers, each applied at most once.
 *
 * <p>Invariant: at most one move to a receiver is unacknowledged; a receiver adds a giver's moves
 * in the order of their sequence and each once. Not thread-safe; guarded by its organisation's
 * lock.
 */
final class PeerMoves {
    private final BudgetKey mKey;
    private final VmId mSelf;
    private final Map<VmId, MoveGrant> mPending = new HashMap<>();
    private final Map<VmId, Long> mRetryAtMs = new HashMap<>();
    private final Map<VmId, Long> mMovesStarted = new HashMap<>();
    private final Map<VmId, Long> mLastSequenceReceived = new HashMap<>();
    private long mNextHomeReportMs = Long.MIN_VALUE;

    PeerMoves(BudgetKey key, VmId self) {
        mKey = key;
        mSelf = self;
    }

    /** Returns the move to a receiver that is not acknowledged yet. */
    Optional<MoveGrant> pending(VmId receiver) {
        return Optional.ofNullable(mPending.get(receiver));
    }

    /** Returns the VMs that tokens were moved to, those with most moves first. */
    List<VmId> receivers() {
        return mMovesStarted.entrySet().stream()
                .sorted(
                        Map.Entry.<VmId, Long>comparingByValue()
                                .reversed()
                                .thenComparing(e -> e.getKey().name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether any move is not acknowledged yet. */
    boolean anyPending() {
        return !mPending.isEmpty();
    }

    /** Starts a move of tokens that the caller has subtracted. */
    MoveGrant start(VmId receiver, MovedTokens moved) {
        long sequence = mMovesStarted.merge(receiver, 1L, Long::sum);
        MoveGrant move =
                new MoveGrant(
                        mKey.organisation(),
                        mKey.budget(),
                        mSelf,
                        receiver,
                        sequence,
                        moved.charge(),
                        moved.free(),
                        moved.spent());
        mPending.put(receiver, move);
        return move;
    }

    /** Returns the unacknowledged moves whose next sending is due, and puts it off. */
    List<MoveGrant> takeDueMoves(long nowMs, long retryMs) {
        List<MoveGrant> due = new ArrayList<>();
        for (MoveGrant move : mPending.values()) {
            if (mRetryAtMs.getOrDefault(move.receiver(), Long.MIN_VALUE) <= nowMs) {
                mRetryAtMs.put(move.receiver(), nowMs + retryMs);
                due.add(move);
            }
        }
        return due;
    }

    /** Puts off the next sending of a move that was sent just now. */
    void delayResend(VmId receiver, long nextMs) {
        mRetryAtMs.put(receiver, nextMs);
    }

    /** Ends a move that was added, or whose receiver runs no more. */
    void acknowledge(MoveAck ack) {
        MoveGrant move = mPending.get(ack.receiver());
        if (move != null && move.sequence() == ack.sequence()) {
            mPending.remove(ack.receiver());
            mRetryAtMs.remove(ack.receiver());
        }
    }

    /** Returns whether a move that came in is to be added; true once for each. */
    boolean recordReceived(MoveGrant move) {
        if (move.sequence() <= mLastSequenceReceived.getOrDefault(move.giver(), 0L)) {
            return false;
        }
        mLastSequenceReceived.put(move.giver(), move.sequence());
        return true;
    }

    /** Forgets a VM that is proved gone: what was on its way to it stays charged as it was. */
    void removeReceiver(VmId gone) {
        mPending.remove(gone);
        mRetryAtMs.remove(gone);
    }

    /** Returns whether it is time to pass spending on, and puts the next time off. */
    boolean takeHomeReportDue(long nowMs, long intervalMs) {
        if (nowMs < mNextHomeReportMs) {
            return false;
        }
        mNextHomeReportMs = nowMs + intervalMs;
        return true;
    }
}
