package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/**
 * One budget on this VM: what it holds, who waits, and its dealings with peers.
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

    /** Returns the tokens that requests here wait for. */
    long waitingTokens() {
        long sum = 0;
        for (Waiter waiter : mWaiters) {
            sum += waiter.tokens();
        }
        return sum;
    }

    /** Returns whether time alone may change something here. */
    boolean hasTimedWork() {
        return !mWaiters.isEmpty()
                || !mDeferredAsks.isEmpty()
                || mAskRound.running()
                || mMoves.anyPending();
    }

    /** Returns the asks that wait for this VM's next grant. */
    Deque<DeferredAsk> deferredAsks() {
        return mDeferredAsks;
    }

    /** Returns the tokens that peers wait for. */
    long peerWaitingTokens() {
        long sum = 0;
        for (DeferredAsk each : mDeferredAsks) {
            sum += each.ask().atLeast();
        }
        return sum;
    }
}
