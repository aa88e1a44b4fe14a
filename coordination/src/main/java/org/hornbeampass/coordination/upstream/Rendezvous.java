package org.hornbeampass.coordination.upstream;

/**
 * Scores pairs of keys so that each chooser ranks the same things in its own, stable order.
 *
 * <p>When one thing goes, only those who ranked it first move on. Stateless; thread-safe.
 */
public final class Rendezvous {
    private static final long OFFSET = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private Rendezvous() {}

    /** Returns the hash of a name, to be used in {@link #score}. */
    public static long hash(String name) {
        long hash = OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * PRIME;
        }
        return hash;
    }

    /** Returns the score of a pair of hashes; the greatest score wins. */
    public static long score(long chooser, long candidate) {
        long mixed = chooser * 0x9E3779B97F4A7C15L ^ candidate;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
