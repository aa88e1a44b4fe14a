package org.hornbeampass.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The engine's cache of prompt prefixes: a bounded set of block hashes, least recently used out.
 *
 * <p>Invariant: holds at most its capacity. A block hash covers the prompt up to its end, so a
 * block whose earlier blocks are gone is of no use until they return. Not thread-safe.
 */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final int mCapacity;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int capacity) {
        mCapacity = capacity;
    }

    /** Returns how many leading blocks are held, and marks them as used. */
    int hit(long[] hashes) {
        int hits = 0;
        while (hits < hashes.length && mBlocks.get(hashes[hits]) != null) {
            hits++;
        }
        return hits;
    }

    /**
     * Adds blocks, the last first, so that of one prompt the early blocks stay longest.
     *
     * @param stored told of each block that is new
     * @param evicted told of each block that had to go
     */
    void add(long[] hashes, LongConsumer stored, LongConsumer evicted) {
        if (mCapacity == 0) {
            return;
        }
        for (int i = Math.min(hashes.length, mCapacity) - 1; i >= 0; i--) {
            if (mBlocks.put(hashes[i], Boolean.TRUE) == null) {
                stored.accept(hashes[i]);
            }
            evictOverflow(evicted);
        }
    }

    int size() {
        return mBlocks.size();
    }

    private void evictOverflow(LongConsumer evicted) {
        Iterator<Long> oldestFirst = mBlocks.keySet().iterator();
        while (mBlocks.size() > mCapacity) {
            long hash = oldestFirst.next();
            oldestFirst.remove();
            evicted.accept(hash);
        }
    }
}
