package org.hornbeampass.router.flow;

import java.util.function.LongConsumer;

/**
 * Runs actions later.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface TimerPort {
    /**
     * Runs an action at a time, on any thread.
     *
     * @param nowMs the present time in milliseconds
     * @param atMs when, in milliseconds
     * @param action takes the time at which it runs
     * @return cancels the action where it has not run
     */
    Runnable schedule(long nowMs, long atMs, LongConsumer action);
}
