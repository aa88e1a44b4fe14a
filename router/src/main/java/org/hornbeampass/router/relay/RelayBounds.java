package org.hornbeampass.router.relay;

/**
 * Bounds on the sends of one request.
 *
 * <p>Constants only; safe for use by any thread.
 */
final class RelayBounds {
    /** How long a connection may take; the network's round trips take a few milliseconds. */
    static final int CONNECT_TIMEOUT_MS = 350;

    /** How many upstreams may be found unreachable before the request is refused. */
    static final int MAX_UNREACHABLE_UPSTREAMS = 3;

    /** How many permits may be denied before upstreams with rate limits are left out. */
    static final int MAX_DENIED_PERMITS = 4;

    /** How many sends may meet another upstream than meant. */
    static final int MAX_MISMATCHES = 2;

    /**
     * How long a kept connection may have been idle for a request that may not be repeated: one
     * that its upstream closes at that moment would leave the outcome unknown.
     */
    static final long MAX_IDLE_NOT_REPEATABLE_MS = 150;

    /** An upstream is silent where an answer takes this many times its objective. */
    static final int SILENCE_OBJECTIVE_FACTOR = 2;

    /** A stream is silent where an event takes this many times the longest pause on time. */
    static final int SILENCE_GAP_FACTOR = 4;

    /** For how long an upstream that has no room gets no new requests from this VM. */
    static final long FULL_PAUSE_MS = 60;

    private RelayBounds() {}
}
