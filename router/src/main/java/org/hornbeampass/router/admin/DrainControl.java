package org.hornbeampass.router.admin;

/**
 * This router's own means to drain.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface DrainControl {
    /** Begins to drain; without effect where it has begun. */
    void begin(long nowMs);

    /** Returns the number of requests in progress. */
    long inFlight();
}
