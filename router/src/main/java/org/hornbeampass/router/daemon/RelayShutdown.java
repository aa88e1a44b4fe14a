package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.transport.relay.CallerServer;

import java.util.concurrent.CompletableFuture;

/**
 * The graceful shutdown of a relay daemon.
 *
 * <p>Callers cache addresses for some seconds, so requests are still accepted while callers move to
 * other VMs. Then requests in progress are finished, unused tokens are returned, and the process
 * may exit. Confined to one event loop, except for the future.
 */
final class RelayShutdown {
    /**
     * Time in which requests are still accepted, in milliseconds: callers learn within about two
     * seconds that this VM is leaving, and a request that arrives later may not end within the
     * grace period.
     */
    private static final long ACCEPT_MS = 2_800;

    /**
     * Part of the grace period that is reserved for returning tokens and exiting, in milliseconds.
     */
    private static final long END_MARGIN_MS = 400;

    /** Maximum time to wait for the return of tokens, in milliseconds. */
    private static final long RETURN_TIMEOUT_MS = 1_000;

    private final long mGraceMs;
    private final CallerServer mCallers;
    private final EscrowBook mBudgets;
    private final FleetView mFleet;
    private final RelayContext mContext;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private boolean mBegun;
    private boolean mStoppedAccepting;
    private long mBeginMs;
    private long mIdleSinceMs = -1;

    RelayShutdown(
            long graceMs,
            CallerServer callers,
            EscrowBook budgets,
            FleetView fleet,
            RelayContext context) {
        mGraceMs = graceMs;
        mCallers = callers;
        mBudgets = budgets;
        mFleet = fleet;
        mContext = context;
    }

    boolean hasBegun() {
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
        mBeginMs = nowMs;
        mContext.log().changes().onStopping(nowMs);
        mFleet.leave(nowMs);
        mCallers.drain();
    }

    void tick(long nowMs) {
        if (!mBegun || mDone.isDone()) {
            return;
        }
        long sinceMs = nowMs - mBeginMs;
        if (sinceMs >= ACCEPT_MS && !mStoppedAccepting) {
            mStoppedAccepting = true;
            mCallers.stopAccepting();
            mContext.refuseNewRequests();
            mCallers.closeIdle();
            mBudgets.startReturningTokens(nowMs);
        }
        if (sinceMs >= mGraceMs - END_MARGIN_MS) {
            end(nowMs, "the grace period is over");
            return;
        }
        if (mStoppedAccepting && mCallers.busyConnections() == 0) {
            returnTokens(nowMs);
        }
    }

    private void returnTokens(long nowMs) {
        if (mIdleSinceMs < 0) {
            mIdleSinceMs = nowMs;
        }
        if (mBudgets.hasReturnedAllTokens()) {
            end(nowMs, "all requests have ended and all tokens are returned");
        } else if (nowMs - mIdleSinceMs >= RETURN_TIMEOUT_MS) {
            end(nowMs, "all requests have ended, but not all tokens are returned");
        }
    }

    private void end(long nowMs, String reason) {
        CallerServer.Unsent unsent = mCallers.unsent();
        mContext.log()
                .logStateChange(
                        nowMs,
                        "shutdown-ended",
                        new LogFields()
                                .add("reason", reason)
                                .add("took_ms", nowMs - mBeginMs)
                                .add("busy_connections", mCallers.busyConnections())
                                .add("unsent_connections", unsent.connections())
                                .add("unsent_bytes", unsent.bytes()));
        mDone.complete(null);
    }
}
