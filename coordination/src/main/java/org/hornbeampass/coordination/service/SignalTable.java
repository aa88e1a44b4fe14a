package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;

/**
 * The signals of upstreams, listed or not yet listed, that are known to this VM.
 *
 * <p>Confined to one thread.
 */
public final class SignalTable {
    /**
     * Signals of one incarnation.
     *
     * @param signals what is known
     * @param limitedSinceMs from when on a rate limit has been known without a break, in
     *     milliseconds
     * @param updatedAtMs when they were heard last, in milliseconds
     */
    private record Entry(UpstreamSignals signals, long limitedSinceMs, long updatedAtMs) {}

    private final Map<UpstreamIncarnation, Entry> mEntries = new HashMap<>();

    /** Returns what is known of an incarnation. */
    public UpstreamSignals get(UpstreamIncarnation upstream) {
        Entry entry = mEntries.get(upstream);
        return entry == null ? UpstreamSignals.NONE : entry.signals();
    }

    /** Returns whether anything is known of an incarnation. */
    boolean contains(UpstreamIncarnation upstream) {
        return mEntries.containsKey(upstream);
    }

    /** Returns whether nothing is known of any upstream. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns for how long this VM has known a rate limit of an upstream, in milliseconds. */
    public long limitKnownForMs(long nowMs, UpstreamIncarnation upstream) {
        Entry entry = mEntries.get(upstream);
        return entry == null ? 0 : nowMs - entry.limitedSinceMs();
    }

    /** Merges signals into what is known, and returns what was known before. */
    UpstreamSignals merge(long nowMs, UpstreamIncarnation upstream, UpstreamSignals signals) {
        UpstreamSignals before = get(upstream);
        UpstreamSignals after = before.merge(signals);
        boolean limitedBefore = before.rateLimit().hasLimit();
        long limitedSinceMs = limitedBefore ? mEntries.get(upstream).limitedSinceMs() : nowMs;
        mEntries.put(upstream, new Entry(after, limitedSinceMs, nowMs));
        return before;
    }

    /** Forgets what is as old as the longest memory of an upstream. */
    void tick(long nowMs) {
        mEntries.values().removeIf(e -> nowMs - e.updatedAtMs() >= FormerUpstreams.RETENTION_MS);
    }
}
