package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions that each service's upstreams ran recently.
 *
 * <p>Confined to one thread.
 */
public final class SoftwareVersions {
    /** How long a version is remembered after its last upstream was gone, in milliseconds. */
    private static final long KEEP_MS = 300_000;

    private final Map<String, Map<String, Long>> mLastSeenMs = new HashMap<>();
    private long mObservedSinceMs = Long.MAX_VALUE;

    /** Records that an upstream of a service runs a version. */
    void onSeen(long nowMs, String service, String version) {
        mObservedSinceMs = Math.min(mObservedSinceMs, nowMs);
        mLastSeenMs.computeIfAbsent(service, s -> new HashMap<>()).put(version, nowMs);
    }

    /** Forgets the versions that were last seen long ago. */
    void tick(long nowMs) {
        Iterator<Map<String, Long>> services = mLastSeenMs.values().iterator();
        while (services.hasNext()) {
            Map<String, Long> versions = services.next();
            versions.values().removeIf(seenMs -> nowMs - seenMs > KEEP_MS);
            if (versions.isEmpty()) {
                services.remove();
            }
        }
    }

    /**
     * Returns the version of all upstreams that a service had in a recent time; empty where there
     * were several or none, or where this VM has not observed the service for that long.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @param periodMs the length of the time in milliseconds, at most {@link #KEEP_MS}
     */
    public Optional<String> onlyVersion(long nowMs, String service, long periodMs) {
        if (mObservedSinceMs > nowMs - periodMs || periodMs > KEEP_MS) {
            return Optional.empty();
        }
        List<String> recent =
                mLastSeenMs.getOrDefault(service, Map.of()).entrySet().stream()
                        .filter(v -> nowMs - v.getValue() <= periodMs)
                        .map(Map.Entry::getKey)
                        .toList();
        return recent.size() == 1 ? Optional.of(recent.get(0)) : Optional.empty();
    }
}
