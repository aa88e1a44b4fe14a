package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;

/**
 * The incarnations of upstreams that said in an answer that they leave, known or not yet known.
 *
 * <p>Confined to one thread.
 */
final class LeavingUpstreams {
    private final Map<UpstreamIncarnation, Long> mToldMs = new HashMap<>();

    /** Adds one; returns whether it is new. */
    boolean add(long nowMs, UpstreamIncarnation upstream) {
        return mToldMs.putIfAbsent(upstream, nowMs) == null;
    }

    boolean contains(UpstreamIncarnation upstream) {
        return mToldMs.containsKey(upstream);
    }

    /** Forgets what is as old as the longest memory of an upstream. */
    void tick(long nowMs) {
        mToldMs.values().removeIf(toldMs -> nowMs - toldMs >= FormerUpstreams.KEPT_MS);
    }
}
