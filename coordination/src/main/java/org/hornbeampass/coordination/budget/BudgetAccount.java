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
    private final AskRound mAsks;
    private final Deque<DeferredAsk> mDeferred = new ArrayDeque<>();

    BudgetAccount(BudgetKey key, VmId self, Set<VmId> silentPeers) {
        mAsks = new AskRound(silentPeers);
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

    AskRound asks() {
        return mAsks;
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
    boolean busy() {
        return !mWaiters.isEmpty()
                || !mDeferred.isEmpty()
                || mAsks.running()
                || mMoves.anyPending();
    }

    /** Returns the asks that wait for this VM's next grant. */
    Deque<DeferredAsk> deferred() {
        return mDeferred;
    }

    /** Returns the tokens that peers wait for. */
    long peersWant() {
        long sum = 0;
        for (DeferredAsk each : mDeferred) {
            sum += each.ask().atLeast();
        }
        return sum;
    }
}
