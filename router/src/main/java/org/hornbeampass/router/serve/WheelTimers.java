package org.hornbeampass.router.serve;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.transport.Clock;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Runs timers on one wheel, {@value #TICK_MS} ms coarse, with one thread of its own.
 *
 * <p>Invariant: an action runs at most once, and never after it was cancelled before its time.
 * Actions must not block. Thread-safe.
 */
public final class WheelTimers implements TimerPort, AutoCloseable {
    private static final int TICK_MS = 10;

    private final Clock mClock;
    private final HashedWheelTimer mWheel;

    /** Starts the wheel. */
    public WheelTimers(Clock clock, String name) {
        mClock = clock;
        mWheel =
                new HashedWheelTimer(
                        new DefaultThreadFactory(name, true), TICK_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Runnable schedule(long nowMs, long atMs, LongConsumer action) {
        Timeout timeout =
                mWheel.newTimeout(
                        t -> action.accept(mClock.nowMs()),
                        Math.max(0, atMs - nowMs),
                        TimeUnit.MILLISECONDS);
        return timeout::cancel;
    }

    @Override
    public void close() {
        mWheel.stop();
    }
}
