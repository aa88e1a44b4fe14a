package org.hornbeampass.router.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps what was last read, for as long as the platform can't be read.
 *
 * <p>Invariant: at most {@value #MAX_KEPT} values, those least recently kept dropped first.
 * Thread-safe: one lock guards the table, and nothing is called while it is held.
 *
 * @param <K> the type of the names
 * @param <V> the type of the values, immutable
 */
final class LastReadCache<K, V> {
    private static final int MAX_KEPT = 1024;

    private final Map<K, Kept<V>> mKept = new LinkedHashMap<>();

    /** A value with the time at which it was read. */
    private record Kept<V>(V value, long readMs) {}

    /** Keeps a value that was read just now. */
    synchronized void keep(long nowMs, K name, V value) {
        mKept.remove(name);
        mKept.put(name, new Kept<>(value, nowMs));
        if (mKept.size() > MAX_KEPT) {
            mKept.remove(mKept.keySet().iterator().next());
        }
    }

    /** Returns a kept value with its age. */
    synchronized Optional<Aged<V>> find(long nowMs, K name) {
        return Optional.ofNullable(mKept.get(name))
                .map(k -> new Aged<>(k.value(), nowMs - k.readMs()));
    }
}
