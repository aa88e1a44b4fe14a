package org.hornbeampass.router.flow;

import java.util.function.LongConsumer;

/**
 * Schedules actions.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface TimerPort {
    /**
     * Runs an action once at the given time, on any thread.
     *
     * @param nowMs the present time in milliseconds
     * @param atMs the time to run the action at, in milliseconds
     * @param action called with the time at which it runs, in milliseconds
     * @return a callback that cancels the action if it has not run yet
     */
    Runnable schedule(long nowMs, long atMs, LongConsumer action);
}
