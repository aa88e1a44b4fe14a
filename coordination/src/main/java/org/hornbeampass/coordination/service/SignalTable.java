package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;

/**
 * The last known signals of each upstream, including upstreams that are not listed yet.
 *
 * <p>Confined to one thread.
 */
public final class SignalTable {
    /**
     * Signals of one incarnation.
     *
     * @param signals the last known signals
     * @param limitedSinceMs since when a rate limit has been known without interruption, in
     *     milliseconds
     * @param updatedAtMs when signals were last received, in milliseconds
     */
    private record Entry(UpstreamSignals signals, long limitedSinceMs, long updatedAtMs) {}

    private final Map<UpstreamIncarnation, Entry> mEntries = new HashMap<>();

    /** Returns the signals of an incarnation. */
    public UpstreamSignals get(UpstreamIncarnation upstream) {
        Entry entry = mEntries.get(upstream);
        return entry == null ? UpstreamSignals.NONE : entry.signals();
    }

    /** Returns whether signals of an incarnation are known. */
    boolean contains(UpstreamIncarnation upstream) {
        return mEntries.containsKey(upstream);
    }

    /** Returns whether no signals are known. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns for how long this VM has known a rate limit of an upstream, in milliseconds. */
    public long limitKnownForMs(long nowMs, UpstreamIncarnation upstream) {
        Entry entry = mEntries.get(upstream);
        return entry == null ? 0 : nowMs - entry.limitedSinceMs();
    }

    /** Merges signals into the known ones and returns those that were known before. */
    UpstreamSignals merge(long nowMs, UpstreamIncarnation upstream, UpstreamSignals signals) {
        UpstreamSignals before = get(upstream);
        UpstreamSignals after = before.merge(signals);
        boolean limitedBefore = before.rateLimit().hasLimit();
        long limitedSinceMs = limitedBefore ? mEntries.get(upstream).limitedSinceMs() : nowMs;
        mEntries.put(upstream, new Entry(after, limitedSinceMs, nowMs));
        return before;
    }

    /**
     * Removes signals that are older than {@link FormerUpstreams#RETENTION_MS}, after which the
     * upstream itself is forgotten.
     */
    void tick(long nowMs) {
        mEntries.values().removeIf(e -> nowMs - e.updatedAtMs() >= FormerUpstreams.RETENTION_MS);
    }
}
