package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.UpstreamEntry;

import java.util.HashMap;
import java.util.Map;

/**
 * The last entries of upstreams that the board has forgotten, so that a late one brings none back.
 *
 * <p>Guards against two faults: an entry of an ended incarnation that is carried out late by the
 * platform, and an upstream that left and is shown as ready once more. Confined to one thread.
 */
final class FormerUpstreams {
    /**
     * How long an entry is remembered, in milliseconds: writes that the platform carries out late
     * come within seconds, and ten minutes of restarts are a few thousand entries at the most.
     */
    static final long RETENTION_MS = 600_000;

    /**
     * The last word on one upstream.
     *
     * @param entry its last entry
     * @param wasLeaving whether it was ever seen leaving in this incarnation
     * @param forgottenAtMs when it was forgotten, in milliseconds
     */
    private record Former(UpstreamEntry entry, boolean wasLeaving, long forgottenAtMs) {}

    private final Map<String, Former> mById = new HashMap<>();

    /** Remembers an upstream that is gone. */
    void add(long nowMs, UpstreamEntry entry, boolean leaving) {
        mById.put(entry.id(), new Former(entry, leaving, nowMs));
    }

    /** Returns whether an entry is of an incarnation that has ended for good. */
    boolean hasEnded(UpstreamEntry entry) {
        Former former = mById.get(entry.id());
        if (former == null || entry.startedAfter(former.entry())) {
            return false;
        }
        return former.wasLeaving() || former.entry().startedAfter(entry);
    }

    /** Forgets what is older than {@link #RETENTION_MS}. */
    void tick(long nowMs) {
        mById.values().removeIf(f -> nowMs - f.forgottenAtMs() >= RETENTION_MS);
    }
}
