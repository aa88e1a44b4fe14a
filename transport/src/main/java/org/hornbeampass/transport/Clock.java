package org.hornbeampass.transport;

import java.util.concurrent.TimeUnit;

/**
 * The source of the current time, which callers pass to all code that depends on the time.
 *
 * <p>Invariant: {@link #nowMs()} never returns less than it returned before. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /** Returns the current time in milliseconds since the epoch of 1970. */
    long nowMs();

    /**
     * Returns a clock that starts at the system's wall clock and advances by the monotonic clock,
     * so that an adjustment of the wall clock neither sets it back nor makes it jump ahead.
     */
    static Clock monotonic() {
        long startMs = System.currentTimeMillis();
        long startNs = System.nanoTime();
        return () -> startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
