package org.hornbeampass.router.relay;

/**
 * Bounds on the sends of one request.
 *
 * <p>Constants only; safe for use by any thread.
 */
public final class RelayBounds {
    /**
     * How long opening a connection may take. A round trip in the network takes a few milliseconds.
     */
    public static final int CONNECT_TIMEOUT_MS = 350;

    /** How many upstreams may be unreachable before the request is refused. */
    static final int MAX_UNREACHABLE_UPSTREAMS = 3;

    /**
     * How many permits may be denied before upstreams with rate limits are no longer considered.
     */
    static final int MAX_DENIED_PERMITS = 4;

    /** How many sends may reach a different upstream than intended. */
    static final int MAX_MISMATCHES = 2;

    /**
     * How long a reused connection may have been idle for a request that may not be repeated. An
     * upstream that closes an idle connection while the request is sent would leave the outcome
     * unknown.
     */
    static final long MAX_IDLE_NOT_REPEATABLE_MS = 150;

    /**
     * An upstream counts as silent once an answer takes this many times the objective of the route.
     */
    static final int SILENCE_OBJECTIVE_FACTOR = 2;

    /**
     * A stream counts as silent once an event takes this many times the route's longest pause that
     * is still on time.
     */
    static final int SILENCE_GAP_FACTOR = 4;

    /** After what time another upstream is sought again while one is silent, in milliseconds. */
    static final long LOOK_AGAIN_MS = 250;

    /** For how long an upstream without free capacity gets no new requests from this VM. */
    static final long FULL_PAUSE_MS = 60;

    private RelayBounds() {}
}
