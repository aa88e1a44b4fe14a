package org.hornbeampass.coordination.upstream;

/**
 * Rendezvous hashing: scores pairs of keys so that each chooser ranks the same candidates in a
 * stable order of its own.
 *
 * <p>When a candidate is removed, only the choosers that ranked it first choose another one.
 * Stateless; thread-safe.
 */
public final class Rendezvous {
    private static final long OFFSET = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private Rendezvous() {}

    /** Returns the hash of a name, for use in {@link #score}. */
    public static long hash(String name) {
        long hash = OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * PRIME;
        }
        return hash;
    }

    /** Returns the score of a pair of hashes; the candidate with the greatest score ranks first. */
    public static long score(long chooser, long candidate) {
        long mixed = chooser * 0x9E3779B97F4A7C15L ^ candidate;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
