package org.hornbeampass.router.admin;

/**
 * Drains this router.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface DrainControl {
    /** Begins to drain; no effect if draining has already begun. */
    void begin(long nowMs);

    /** Returns the number of requests in progress. */
    long inFlight();
}
