package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.serve.FlowRunner;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Brings a router down without cutting a request.
 *
 * <p>First it leaves the address answers and new requests are refused; once all requests have
 * ended, bills and then grants are handed over. Grants come last, since settling a request needs
 * them. Has no deadline unless the settings name one. Thread-safe.
 */
final class Shutdown {
    private static final Logger LOG = LogManager.getLogger(Shutdown.class);
    private static final long POLL_MS = 20;

    private final Coordination mParts;
    private final RouterNetwork mNetwork;
    private final FlowRunner mRunner;
    private final TimerPort mTimers;
    private final RouterSettings.Execution mSettings;
    private final AtomicBoolean mBegun = new AtomicBoolean();
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();

    Shutdown(
            Coordination parts,
            RouterNetwork network,
            FlowRunner runner,
            TimerPort timers,
            RouterSettings.Execution settings) {
        mParts = parts;
        mNetwork = network;
        mRunner = runner;
        mTimers = timers;
        mSettings = settings;
    }

    /** Returns whether the shutdown has begun, so that new requests are refused. */
    boolean hasBegun() {
        return mBegun.get();
    }

    /** Returns a future that is completed when nothing is left to do. */
    CompletableFuture<Void> done() {
        return mDone;
    }

    /** Begins the shutdown where it has not begun; completed when nothing is left to do. */
    CompletableFuture<Void> begin(long nowMs) {
        if (mBegun.compareAndSet(false, true)) {
            LOG.info("shutdown begins with {} requests in progress", mRunner.running());
            mParts.membership().leave(nowMs);
            if (mSettings.maxDrainMs().isPresent()) {
                mTimers.at(
                        nowMs,
                        nowMs + mSettings.maxDrainMs().getAsLong(),
                        t -> mDone.complete(null));
            }
            awaitRequests(nowMs);
        }
        return mDone;
    }

    private void awaitRequests(long nowMs) {
        if (mRunner.running() > 0 || mNetwork.callers().inFlight() > 0) {
            mTimers.at(nowMs, nowMs + POLL_MS, this::awaitRequests);
            return;
        }
        mNetwork.callers().stopAccepting();
        mParts.requests().handOver(nowMs, this::handOverGrants);
    }

    private void handOverGrants(long nowMs) {
        LOG.info("all requests have ended and their bills are durable");
        mParts.budgets()
                .handOver(
                        nowMs,
                        t -> {
                            LOG.info("all grants are returned");
                            mDone.complete(null);
                        });
    }
}
