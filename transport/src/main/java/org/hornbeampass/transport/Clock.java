package org.hornbeampass.transport;

import java.util.concurrent.TimeUnit;

/**
 * The source of the present time that the programs hand to every function that decides.
 *
 * <p>Invariant: {@link #nowMs()} never gives less than it gave before. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /** Returns the present time in milliseconds since 1970. */
    long nowMs();

    /**
     * Returns a clock that starts at the system's wall clock and goes on by its monotonic one, so
     * that a step of the wall clock neither turns it back nor makes it jump.
     */
    static Clock monotonic() {
        long startMs = System.currentTimeMillis();
        long startNs = System.nanoTime();
        return () -> startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
