package org.hornbeampass.router.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the values last read from the platform, for use while it is unavailable.
 *
 * <p>Invariant: it holds at most {@value #MAX_KEPT} values and drops the least recently stored
 * first. Thread-safe: one lock guards the table, and no callback runs while it is held.
 *
 * @param <K> the type of the names
 * @param <V> the type of the values, immutable
 */
final class LastReadCache<K, V> {
    private static final int MAX_KEPT = 1024;

    private final Map<K, Kept<V>> mKept = new LinkedHashMap<>();

    /** A value with the time at which it was read. */
    private record Kept<V>(V value, long readMs) {}

    /** Stores a value that was read just now, in place of the previous one of that name. */
    synchronized void keep(long nowMs, K name, V value) {
        mKept.remove(name);
        mKept.put(name, new Kept<>(value, nowMs));
        if (mKept.size() > MAX_KEPT) {
            mKept.remove(mKept.keySet().iterator().next());
        }
    }

    /** Returns the stored value of a name with its age. */
    synchronized Optional<Aged<V>> find(long nowMs, K name) {
        return Optional.ofNullable(mKept.get(name))
                .map(k -> new Aged<>(k.value(), nowMs - k.readMs()));
    }
}
