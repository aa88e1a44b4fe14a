package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.serve.FlowRunner;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Shuts a router down without aborting a request.
 *
 * <p>First the router leaves the answers about addresses and rejects new requests. Once all
 * requests have ended, it makes their bills durable and then returns its grants. Grants come last,
 * since settling a request needs them. There is no deadline unless the settings define one.
 * Thread-safe.
 */
final class Shutdown {
    private static final Logger LOG = LogManager.getLogger(Shutdown.class);
    private static final long POLL_MS = 20;

    private final Coordination mCoordination;
    private final RouterNetwork mNetwork;
    private final FlowRunner mRunner;
    private final TimerPort mTimers;
    private final RouterSettings.Execution mExecution;
    private final AtomicBoolean mBegun = new AtomicBoolean();
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();

    Shutdown(
            Coordination coordination,
            RouterNetwork network,
            FlowRunner runner,
            TimerPort timers,
            RouterSettings.Execution settings) {
        mCoordination = coordination;
        mNetwork = network;
        mRunner = runner;
        mTimers = timers;
        mExecution = settings;
    }

    /** Returns whether the shutdown has begun, so that new requests are rejected. */
    boolean hasBegun() {
        return mBegun.get();
    }

    /** Returns a future that is completed when the shutdown is done or its deadline has passed. */
    CompletableFuture<Void> done() {
        return mDone;
    }

    /** Begins the shutdown if it has not begun, and returns the same future as {@link #done}. */
    CompletableFuture<Void> begin(long nowMs) {
        if (mBegun.compareAndSet(false, true)) {
            LOG.info("shutdown started with {} requests in progress", mRunner.runningCount());
            mCoordination.membership().leave(nowMs);
            if (mExecution.maxDrainMs().isPresent()) {
                mTimers.schedule(
                        nowMs,
                        nowMs + mExecution.maxDrainMs().getAsLong(),
                        t -> mDone.complete(null));
            }
            awaitRequests(nowMs);
        }
        return mDone;
    }

    private void awaitRequests(long nowMs) {
        if (mRunner.runningCount() > 0 || mNetwork.callers().inFlight() > 0) {
            mTimers.schedule(nowMs, nowMs + POLL_MS, this::awaitRequests);
            return;
        }
        mNetwork.callers().stopAccepting();
        mCoordination.requests().drain(nowMs, this::handOverGrants);
    }

    private void handOverGrants(long nowMs) {
        LOG.info("all requests have ended and their bills are durable; returning grants");
        mCoordination
                .budgets()
                .handOver(
                        nowMs,
                        t -> {
                            LOG.info("all grants are returned");
                            mDone.complete(null);
                        });
    }
}
