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
 * Calls components that have no clock of their own at intervals, on the control loop.
 *
 * <p>A tick that throws is logged, and later ones still run. Thread-safe.
 */
final class TickLoop implements AutoCloseable {
    /** Interval for work that callers wait for, in milliseconds. */
    static final long FAST_INTERVAL_MS = 10;

    /** Interval for all other work, in milliseconds. */
    static final long SLOW_INTERVAL_MS = 100;

    private static final Logger LOG = LogManager.getLogger(TickLoop.class);

    private final List<ScheduledFuture<?>> mScheduled = new CopyOnWriteArrayList<>();
    private final EventLoops mLoops;
    private final Clock mClock;

    TickLoop(EventLoops loops, Clock clock) {
        mLoops = loops;
        mClock = clock;
    }

    /** Runs a tick at an interval in milliseconds; it receives the current time in milliseconds. */
    void every(long intervalMs, LongConsumer tick) {
        mScheduled.add(
                mLoops.group()
                        .next()
                        .scheduleWithFixedDelay(
                                () -> run(tick), 0, intervalMs, TimeUnit.MILLISECONDS));
    }

    /** An error that left this method would end all later ticks of the task. */
    private void run(LongConsumer tick) {
        try {
            tick.accept(mClock.nowMs());
        } catch (RuntimeException | Error e) {
            LOG.error("a periodic task failed with an internal error", e);
        }
    }

    @Override
    public void close() {
        mScheduled.forEach(t -> t.cancel(false));
    }
}
