package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Moves of one budget between this VM and its peers, each applied at most once.
 *
 * <p>Invariant: at most one move to each receiver is unacknowledged. A receiver adds the moves of a
 * giver in the order of their sequence, and each only once. Not thread-safe; guarded by its
 * organisation's lock.
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

    /** Returns the unacknowledged move to a receiver, if any. */
    Optional<MoveGrant> pending(VmId receiver) {
        return Optional.ofNullable(mPending.get(receiver));
    }

    /** Returns the VMs to which tokens were moved, sorted by descending number of moves. */
    List<VmId> receivers() {
        return mMovesStarted.entrySet().stream()
                .sorted(
                        Map.Entry.<VmId, Long>comparingByValue()
                                .reversed()
                                .thenComparing(e -> e.getKey().name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether any move is unacknowledged. */
    boolean anyPending() {
        return !mPending.isEmpty();
    }

    /** Starts a move of tokens that the caller has subtracted already. */
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

    /**
     * Returns the unacknowledged moves whose next transmission is due, and schedules the following
     * one after {@code retryMs} milliseconds.
     */
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

    /** Delays the next transmission of a move that was just sent until {@code nextMs}. */
    void delayResend(VmId receiver, long nextMs) {
        mRetryAtMs.put(receiver, nextMs);
    }

    /** Ends a move whose tokens were added or whose receiver no longer runs. */
    void acknowledge(MoveAck ack) {
        MoveGrant move = mPending.get(ack.receiver());
        if (move != null && move.sequence() == ack.sequence()) {
            mPending.remove(ack.receiver());
            mRetryAtMs.remove(ack.receiver());
        }
    }

    /**
     * Records a received move. Returns whether its tokens are to be added, which is true only once
     * for each move.
     */
    boolean recordReceived(MoveGrant move) {
        if (move.sequence() <= mLastSequenceReceived.getOrDefault(move.giver(), 0L)) {
            return false;
        }
        mLastSequenceReceived.put(move.giver(), move.sequence());
        return true;
    }

    /**
     * Ends the move to a VM that is proved gone. The tokens of that move stay charged as before.
     */
    void removeReceiver(VmId gone) {
        mPending.remove(gone);
        mRetryAtMs.remove(gone);
    }

    /**
     * Returns whether spending is to be moved to a home now; if so, the next time is {@code
     * intervalMs} milliseconds later.
     */
    boolean takeHomeReportDue(long nowMs, long intervalMs) {
        if (nowMs < mNextHomeReportMs) {
            return false;
        }
        mNextHomeReportMs = nowMs + intervalMs;
        return true;
    }
}
