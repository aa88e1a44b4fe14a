package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests {@link PrefixCache}. */
class PrefixCacheTest {
    private final PrefixCache mCache = new PrefixCache(3);
    private final List<Long> mStored = new ArrayList<>();
    private final List<Long> mEvicted = new ArrayList<>();

    @Test
    void hit_countsLeadingBlocksOnly() {
        add(1, 2);

        assertThat(mCache.hit(new long[] {1, 2, 9})).isEqualTo(2);
        assertThat(mCache.hit(new long[] {9, 2})).isZero();
    }

    @Test
    void add_beyondCapacity_evictsTheLeastRecentlyUsed() {
        add(1, 2);
        add(5);
        assertThat(mCache.hit(new long[] {1})).isEqualTo(1);

        add(6);

        assertThat(mEvicted).containsExactly(2L);
        assertThat(mCache.hit(new long[] {1})).isEqualTo(1);
        assertThat(mCache.size()).isEqualTo(3);
    }

    @Test
    void add_ofPromptLongerThanTheCache_keepsItsStart() {
        add(1, 2, 3, 4, 5);

        assertThat(mStored).containsExactly(3L, 2L, 1L);
        assertThat(mCache.hit(new long[] {1, 2, 3, 4, 5})).isEqualTo(3);
    }

    private void add(long... hashes) {
        mCache.add(hashes, mStored::add, mEvicted::add);
    }
}
