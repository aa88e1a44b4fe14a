package org.hornbeampass.router.serve;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.transport.Clock;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Runs timers on a hashed wheel with a resolution of {@value #TICK_MS} ms, on a thread of its own.
 *
 * <p>Invariant: an action runs at most once, and never if it was cancelled before its time. Actions
 * must not block. Thread-safe.
 */
public final class WheelTimers implements TimerPort, AutoCloseable {
    private static final int TICK_MS = 10;

    private final Clock mClock;
    private final HashedWheelTimer mWheel;

    /**
     * Creates the timer wheel.
     *
     * @param clock the clock whose time is passed to actions
     * @param name the name of the timer thread
     */
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
