package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.UpstreamEntry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The software versions that each service's upstreams ran recently, as this VM has observed them.
 *
 * <p>Confined to one thread.
 */
public final class SoftwareVersions {
    /** How long a version is remembered after its last upstream was gone, in milliseconds. */
    private static final long KEEP_MS = 86_400_000;

    /**
     * Longest time between two ticks in which no upstream can have come and gone unnoticed, in
     * milliseconds.
     */
    private static final long MAX_TICK_INTERVAL_MS = 2_000;

    private final Map<String, Map<String, Long>> mLastSeenMs = new HashMap<>();
    private long mObservedSinceMs = Long.MAX_VALUE;
    private long mTickedMs = Long.MIN_VALUE;

    /** Records the version of a registered upstream. */
    void onSeen(long nowMs, UpstreamEntry entry) {
        onSeen(nowMs, entry.service(), entry.softwareVersion());
    }

    /** Records that an upstream of a service runs a version. */
    void onSeen(long nowMs, String service, String version) {
        mObservedSinceMs = Math.min(mObservedSinceMs, nowMs);
        mLastSeenMs.computeIfAbsent(service, s -> new HashMap<>()).put(version, nowMs);
    }

    /** Forgets the versions that were last seen long ago, and notices interruptions. */
    void tick(long nowMs) {
        if (mTickedMs != Long.MIN_VALUE && nowMs - mTickedMs > MAX_TICK_INTERVAL_MS) {
            onInterrupted(nowMs);
        }
        mTickedMs = nowMs;
        Iterator<Map<String, Long>> services = mLastSeenMs.values().iterator();
        while (services.hasNext()) {
            Map<String, Long> versions = services.next();
            versions.values().removeIf(seenMs -> nowMs - seenMs > KEEP_MS);
            if (versions.isEmpty()) {
                services.remove();
            }
        }
    }

    /** Handles that upstreams may have come and gone without this VM's knowledge. */
    public void onInterrupted(long nowMs) {
        if (mObservedSinceMs != Long.MAX_VALUE) {
            mObservedSinceMs = Math.max(mObservedSinceMs, nowMs);
        }
    }

    /** Returns for how long this VM has observed all services without interruption. */
    public long observedForMs(long nowMs) {
        return Math.max(0, nowMs - mObservedSinceMs);
    }

    /**
     * Returns the versions that upstreams of a service ran in a recent time.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @param periodMs the length of the time in milliseconds, at most {@link #KEEP_MS}
     */
    public Set<String> seenWithin(long nowMs, String service, long periodMs) {
        return mLastSeenMs.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(v -> nowMs - v.getValue() <= periodMs)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
