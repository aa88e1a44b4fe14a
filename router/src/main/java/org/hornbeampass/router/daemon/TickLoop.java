package org.hornbeampass.router.daemon;

import io.netty.util.concurrent.ScheduledFuture;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Drives the parts that have no clock of their own, on the control loop.
 *
 * <p>A tick that throws is logged, and later ones still run. Thread-safe.
 */
final class TickLoop implements AutoCloseable {
    /** How often what callers wait for is driven, in milliseconds. */
    static final long FAST_INTERVAL_MS = 10;

    /** How often the rest is driven, in milliseconds. */
    static final long SLOW_INTERVAL_MS = 100;

    private static final Logger LOG = LogManager.getLogger(TickLoop.class);

    private final List<ScheduledFuture<?>> mTicks = new CopyOnWriteArrayList<>();
    private final EventLoops mLoops;
    private final Clock mClock;

    TickLoop(EventLoops loops, Clock clock) {
        mLoops = loops;
        mClock = clock;
    }

    /** Runs a tick at an interval in milliseconds; it takes the present time. */
    void every(long intervalMs, LongConsumer tick) {
        mTicks.add(
                mLoops.group()
                        .next()
                        .scheduleWithFixedDelay(
                                () -> run(tick), 0, intervalMs, TimeUnit.MILLISECONDS));
    }

    private void run(LongConsumer tick) {
        try {
            tick.accept(mClock.nowMs());
        } catch (RuntimeException e) {
            LOG.error("a tick met an internal fault", e);
        }
    }

    @Override
    public void close() {
        mTicks.forEach(t -> t.cancel(false));
    }
}
