package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.UpstreamEntry;

import java.util.HashMap;
import java.util.Map;

/**
 * The last entries and pauses of upstreams that were removed from the registry, so that a late
 * entry does not add them again, and one that is written again does not end their pauses.
 *
 * <p>Guards against three faults: the platform carries out a delayed write of an ended
 * incarnation's entry, an upstream that was leaving is listed as ready again, and one that asked
 * for a pause gets requests during it because its entry was missing meanwhile. Confined to one
 * thread.
 */
final class FormerUpstreams {
    /**
     * How long an entry is kept, in milliseconds. Delayed writes take effect within seconds, and
     * restarts during ten minutes add a few thousand entries at most.
     */
    static final long RETENTION_MS = 600_000;

    /**
     * The last state of a removed upstream.
     *
     * @param entry its last entry
     * @param wasLeaving whether this incarnation was ever known to be leaving
     * @param pauses its pauses
     * @param forgottenAtMs when it was removed from the registry, in milliseconds
     */
    private record Former(
            UpstreamEntry entry,
            boolean wasLeaving,
            UpstreamInstance.Pauses pauses,
            long forgottenAtMs) {}

    private final Map<String, Former> mById = new HashMap<>();

    /** Adds an upstream that was removed from the registry. */
    void add(long nowMs, UpstreamInstance instance) {
        mById.put(
                instance.id(),
                new Former(instance.entry(), instance.isLeaving(), instance.pauses(), nowMs));
    }

    /** Returns the instance of an entry, with the pauses of the same incarnation. */
    UpstreamInstance instanceOf(UpstreamEntry entry) {
        UpstreamInstance instance = new UpstreamInstance(entry);
        if (contains(entry)) {
            instance.resume(mById.get(entry.id()).pauses());
        }
        return instance;
    }

    /** Returns whether an entry belongs to the incarnation that was last removed. */
    boolean contains(UpstreamEntry entry) {
        Former former = mById.get(entry.id());
        return former != null && !entry.startedAfter(former.entry());
    }

    /** Returns whether an entry belongs to an incarnation that has ended. */
    boolean hasEnded(UpstreamEntry entry) {
        Former former = mById.get(entry.id());
        if (former == null || entry.startedAfter(former.entry())) {
            return false;
        }
        return former.wasLeaving() || former.entry().startedAfter(entry);
    }

    /** Removes entries that are older than {@link #RETENTION_MS}. */
    void tick(long nowMs) {
        mById.values().removeIf(f -> nowMs - f.forgottenAtMs() >= RETENTION_MS);
    }
}
