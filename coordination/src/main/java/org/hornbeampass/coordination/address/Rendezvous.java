package org.hornbeampass.coordination.address;

import java.util.Comparator;

/**
 * Rendezvous hashing: ranks VMs for a key so that each VM that knows the same VMs ranks alike.
 *
 * <p>Invariant: a VM that comes or goes changes the place of no two others. Stateless; thread-safe.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private Rendezvous() {}

    /** Returns a VM's score for a key; the highest, as an unsigned number, ranks first. */
    public static long score(String key, String vmName) {
        long hash = mix(hash(FNV_OFFSET, key));
        return mix(hash(hash, vmName));
    }

    /** Returns the order of VM names for a key, the highest score first. */
    public static Comparator<String> order(String key) {
        return (a, b) -> {
            int byScore = Long.compareUnsigned(score(key, b), score(key, a));
            return byScore != 0 ? byScore : a.compareTo(b);
        };
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ (mixed >>> 33);
    }
}
