package org.hornbeampass.coordination.hash;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing: the loss of a member moves only that member's keys.
 *
 * <p>Invariant: the choice depends only on the key and the set of members, and is the same on every
 * VM. Thread-safe: holds no state.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the member chosen for a key; empty if there is no member. */
    public static <M extends Comparable<? super M>> Optional<M> choose(
            String key, Collection<M> members) {
        long keyHash = hash(key);
        return members.stream().max(byWeight(keyHash));
    }

    /** Returns at most {@code count} members chosen for a key, the best first. */
    public static <M extends Comparable<? super M>> List<M> choose(
            String key, Collection<M> members, int count) {
        long keyHash = hash(key);
        return members.stream()
                .sorted(RendezvousHash.<M>byWeight(keyHash).reversed())
                .limit(count)
                .toList();
    }

    private static <M extends Comparable<? super M>> Comparator<M> byWeight(long keyHash) {
        return Comparator.<M>comparingLong(m -> mix(keyHash ^ hash(m.toString())))
                .thenComparing(Comparator.<M>naturalOrder());
    }

    /**
     * Returns a 64-bit hash of a text, the same on every VM; not secure for keys chosen by an
     * attacker.
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Mixes every bit of a value into all bits (the finaliser of SplitMix64). */
    private static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
