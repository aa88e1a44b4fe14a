package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/**
 * State of one budget on this VM: the tokens held, the requests that wait for tokens, and the asks
 * and moves between this VM and its peers.
 *
 * <p>Not thread-safe; guarded by its organisation's lock.
 */
final class BudgetAccount {
    private final Holding mHolding;
    private final PeerMoves mMoves;
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final AskRound mAskRound;
    private final Deque<DeferredAsk> mDeferredAsks = new ArrayDeque<>();

    BudgetAccount(BudgetKey key, VmId self, Set<VmId> unresponsivePeers) {
        mAskRound = new AskRound(unresponsivePeers);
        mHolding = new Holding(key, new HolderId(self, 0));
        mMoves = new PeerMoves(key, self);
    }

    BudgetKey key() {
        return mHolding.key();
    }

    Holding holding() {
        return mHolding;
    }

    PeerMoves moves() {
        return mMoves;
    }

    Deque<Waiter> waiters() {
        return mWaiters;
    }

    AskRound askRound() {
        return mAskRound;
    }

    /** Returns the sum of tokens that requests on this VM wait for. */
    long waitingTokens() {
        long sum = 0;
        for (Waiter waiter : mWaiters) {
            sum += waiter.tokens();
        }
        return sum;
    }

    /**
     * Returns whether the next tick may have work to do, such as retries, timeouts and refusals.
     */
    boolean hasTimedWork() {
        return !mWaiters.isEmpty()
                || !mDeferredAsks.isEmpty()
                || mAskRound.running()
                || mMoves.anyPending();
    }

    /** Returns the asks of peers that are to be answered from the next grant of this VM. */
    Deque<DeferredAsk> deferredAsks() {
        return mDeferredAsks;
    }

    /** Returns the sum of tokens that the deferred asks of peers need at least. */
    long peerWaitingTokens() {
        long sum = 0;
        for (DeferredAsk each : mDeferredAsks) {
            sum += each.ask().atLeast();
        }
        return sum;
    }
}
