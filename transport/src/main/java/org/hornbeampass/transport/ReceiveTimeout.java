package org.hornbeampass.transport;

import io.netty.channel.EventLoop;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * A timeout for what another process is to send.
 *
 * <p>While an event loop is blocked it reads nothing, and then runs the timers that are due before
 * it reads what has arrived. Invariants: the action runs only after the sockets were read again
 * since the timeout was due, and after as much time more as the timer was late, at most the timeout
 * itself; once at most, and not after {@link #cancel}. Confined to one event loop.
 */
public final class ReceiveTimeout {
    /** Runs actions after delays on an event loop. */
    @FunctionalInterface
    public interface Timers {
        /**
         * Runs an action, which receives the time in milliseconds, after a delay in milliseconds.
         *
         * @return a handle that cancels it
         */
        Runnable schedule(long delayMs, LongConsumer action);

        /** Returns the timers of an event loop. */
        static Timers of(EventLoop loop, Clock clock) {
            return (delayMs, action) -> {
                var scheduled =
                        loop.schedule(
                                () -> action.accept(clock.nowMs()), delayMs, TimeUnit.MILLISECONDS);
                return () -> scheduled.cancel(false);
            };
        }
    }

    private final Timers mTimers;
    private final long mDueMs;
    private final long mTimeoutMs;
    private final LongConsumer mAction;
    private Optional<Runnable> mCancel = Optional.empty();

    private ReceiveTimeout(Timers timers, long nowMs, long timeoutMs, LongConsumer action) {
        mTimers = timers;
        mDueMs = nowMs + timeoutMs;
        mTimeoutMs = timeoutMs;
        mAction = action;
    }

    /**
     * Starts a timeout.
     *
     * @param timers the timers of the event loop that reads the socket
     * @param nowMs the present time in milliseconds
     * @param timeoutMs after what time in milliseconds it is due
     * @param action receives the time in milliseconds
     */
    public static ReceiveTimeout start(
            Timers timers, long nowMs, long timeoutMs, LongConsumer action) {
        ReceiveTimeout timeout = new ReceiveTimeout(timers, nowMs, timeoutMs, action);
        timeout.mCancel = Optional.of(timers.schedule(timeoutMs, timeout::onDue));
        return timeout;
    }

    private void onDue(long nowMs) {
        long lateMs = Math.max(0, Math.min(mTimeoutMs, nowMs - mDueMs));
        mCancel = Optional.of(mTimers.schedule(lateMs, this::onExpiry));
    }

    private void onExpiry(long nowMs) {
        mCancel = Optional.empty();
        mAction.accept(nowMs);
    }

    /** Returns how long ago the timeout was due, in milliseconds; 0 if it is not due yet. */
    public long lateMs(long nowMs) {
        return Math.max(0, nowMs - mDueMs);
    }

    /** Stops the timeout and returns whether its action was still to run. */
    public boolean cancel() {
        boolean running = mCancel.isPresent();
        mCancel.ifPresent(Runnable::run);
        mCancel = Optional.empty();
        return running;
    }
}
