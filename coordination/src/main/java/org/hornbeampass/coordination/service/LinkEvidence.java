package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The outcomes of the connections that this VM opens to a set of upstreams.
 *
 * <p>Invariants: the links count as lost only after connections to several different upstreams
 * failed in a short time with none opened in between, so that a single upstream that has ended does
 * not count as a loss; one connection that opens ends it. Confined to one thread.
 */
final class LinkEvidence {
    /** How long a failed connection counts, in milliseconds. */
    private static final long FAILURE_TTL_MS = 3_000;

    private final Map<String, Long> mFailedAtMs = new HashMap<>();
    private OptionalLong mLostSinceMs = OptionalLong.empty();

    /** Returns since when the links are lost, in milliseconds; empty if they are not. */
    OptionalLong lostSinceMs() {
        return mLostSinceMs;
    }

    void onOpened() {
        mFailedAtMs.clear();
        mLostSinceMs = OptionalLong.empty();
    }

    /**
     * Records that a connection failed.
     *
     * @param nowMs the present time in milliseconds
     * @param address the upstream's address
     * @param needed the number of different upstreams whose failures are a loss
     */
    void onFailed(long nowMs, String address, int needed) {
        mFailedAtMs.values().removeIf(t -> nowMs - t >= FAILURE_TTL_MS);
        mFailedAtMs.put(address, nowMs);
        if (mLostSinceMs.isEmpty() && mFailedAtMs.size() >= needed) {
            mLostSinceMs = OptionalLong.of(nowMs);
        }
    }
}
