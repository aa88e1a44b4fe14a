package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.router.relay.ShutdownSchedule;
import org.hornbeampass.transport.relay.CallerServer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The graceful shutdown of a relay daemon.
 *
 * <p>Callers cache addresses for some seconds, so requests are still accepted while callers move to
 * other VMs. Then requests in progress are finished, unused tokens are returned, and the process
 * may exit. Requests that are not answered when the grace period ends are answered as lost, or
 * broken off where a part of the answer was sent. Confined to one event loop, except for the
 * future.
 */
final class RelayShutdown {
    /** Maximum time to wait for the return of tokens, in milliseconds. */
    private static final long RETURN_TIMEOUT_MS = 1_000;

    private final long mGraceMs;
    private final CallerServer mCallers;
    private final EscrowBook mBudgets;
    private final FleetView mFleet;
    private final RelayContext mContext;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private Optional<ShutdownSchedule> mSchedule = Optional.empty();
    private boolean mStoppedAccepting;
    private boolean mBrokenOff;
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
        return mSchedule.isPresent();
    }

    CompletableFuture<Void> done() {
        return mDone;
    }

    void begin(long nowMs) {
        if (hasBegun()) {
            return;
        }
        ShutdownSchedule schedule = ShutdownSchedule.of(nowMs, mGraceMs);
        mSchedule = Optional.of(schedule);
        mContext.shutdown().begin(schedule);
        mBeginMs = nowMs;
        mContext.log().changes().onStopping(nowMs);
        mFleet.leave(nowMs);
        mCallers.drain();
    }

    void tick(long nowMs) {
        if (mSchedule.isEmpty() || mDone.isDone()) {
            return;
        }
        ShutdownSchedule schedule = mSchedule.get();
        if (!schedule.accepts(nowMs) && !mStoppedAccepting) {
            mStoppedAccepting = true;
            mCallers.stopAccepting();
            mCallers.closeIdle();
            mBudgets.startReturningTokens(nowMs);
        }
        if (schedule.breaksOff(nowMs) && !mBrokenOff) {
            mBrokenOff = true;
            logBrokenOff(nowMs);
            mCallers.endRequests(nowMs);
        }
        if (schedule.exits(nowMs)) {
            end(nowMs, "the grace period is over");
            return;
        }
        if (mStoppedAccepting && mCallers.busyConnections() == 0) {
            returnTokens(nowMs);
        }
    }

    private void logBrokenOff(long nowMs) {
        mContext.log()
                .logStateChange(
                        nowMs,
                        "shutdown-breaks-off",
                        new LogFields()
                                .add("since_ms", nowMs - mBeginMs)
                                .add("busy_connections", mCallers.busyConnections()));
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
