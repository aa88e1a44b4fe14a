package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;

/**
 * The outcomes of the connections that this VM opens to a set of upstreams.
 *
 * <p>Invariants: the links count as lost only after connections to several different upstreams
 * failed in a short time with none opened in between, so that no single upstream that is gone is
 * taken for a loss; one connection that opens ends it. Confined to one thread.
 */
final class LinkEvidence {
    /** How long a failed connection counts, in milliseconds. */
    private static final long FAILURE_TTL_MS = 3_000;

    private final Map<String, Long> mFailedAtMs = new HashMap<>();
    private boolean mLost;

    boolean isLost() {
        return mLost;
    }

    void onOpened() {
        mFailedAtMs.clear();
        mLost = false;
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
        mLost |= mFailedAtMs.size() >= needed;
    }
}
