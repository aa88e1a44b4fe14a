package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.transport.relay.CallerServer;

import java.util.concurrent.CompletableFuture;

/**
 * The graceful shutdown of a relay daemon.
 *
 * <p>Callers keep addresses for seconds, so that requests go on to be served while they move away;
 * then what is in progress is finished, unused tokens are given back, and the process may end.
 * Confined to one event loop, but for the future.
 */
final class RelayShutdown {
    /**
     * How long requests are still taken, in milliseconds: callers learn within about two seconds
     * that this VM leaves, and a request that comes later may not end within the grace.
     */
    private static final long TAKE_MS = 2_800;

    /** How much of the grace is kept for giving tokens back and ending, in milliseconds. */
    private static final long END_MARGIN_MS = 400;

    /** How long a return of tokens is awaited, in milliseconds. */
    private static final long RETURN_MS = 1_000;

    private final long mGraceMs;
    private final CallerServer mCallers;
    private final EscrowBook mBudgets;
    private final FleetView mFleet;
    private final RelayContext mParts;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private boolean mBegun;
    private boolean mStopped;
    private long mBegunMs;
    private long mIdleMs = -1;

    RelayShutdown(
            long graceMs,
            CallerServer callers,
            EscrowBook budgets,
            FleetView fleet,
            RelayContext parts) {
        mGraceMs = graceMs;
        mCallers = callers;
        mBudgets = budgets;
        mFleet = fleet;
        mParts = parts;
    }

    boolean begun() {
        return mBegun;
    }

    CompletableFuture<Void> done() {
        return mDone;
    }

    void begin(long nowMs) {
        if (mBegun) {
            return;
        }
        mBegun = true;
        mBegunMs = nowMs;
        mFleet.leave(nowMs);
        mCallers.drain();
    }

    void tick(long nowMs) {
        if (!mBegun || mDone.isDone()) {
            return;
        }
        long sinceMs = nowMs - mBegunMs;
        if (sinceMs >= TAKE_MS && !mStopped) {
            mStopped = true;
            mCallers.stopAccepting();
            mParts.refuseNewRequests();
            mCallers.closeIdle();
            mBudgets.startReturningTokens(nowMs);
        }
        if (sinceMs >= mGraceMs - END_MARGIN_MS) {
            mDone.complete(null);
            return;
        }
        if (mStopped && mCallers.busyConnections() == 0) {
            finish(nowMs);
        }
    }

    private void finish(long nowMs) {
        if (mIdleMs < 0) {
            mIdleMs = nowMs;
        }
        if (mBudgets.hasReturnedAllTokens() || nowMs - mIdleMs >= RETURN_MS) {
            mDone.complete(null);
        }
    }
}
