package org.hornbeampass.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.CacheEvent;
import org.hornbeampass.state.upstream.CacheEvent.Kind;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.junit.jupiter.api.Test;

import java.util.Arrays;
import java.util.List;

/** Tests {@link PrefixCacheEstimate}. */
class PrefixCacheEstimateTest {
    private static final PrefixDigests PROMPT = PrefixDigests.of(11, 12, 13, 14);

    private final PrefixCacheEstimate mBelief = new PrefixCacheEstimate(4);

    @Test
    void matchingBlocks_countsLeadingBlocksOnly() {
        mBelief.ran(PrefixDigests.of(11, 12));

        assertThat(mBelief.matchingBlocks(PROMPT)).isEqualTo(2);
        assertThat(mBelief.matchingBlocks(PrefixDigests.of(99, 12))).isZero();
        assertThat(mBelief.matchingBlocks(PrefixDigests.none())).isZero();
    }

    @Test
    void gapInEvents_dropsAllBelief() {
        mBelief.apply(stored(0, 11, 12));
        mBelief.apply(stored(3, 13));

        assertThat(mBelief.matchingBlocks(PROMPT)).isZero();
        assertThat(mBelief.gaps()).isEqualTo(1);
    }

    @Test
    void repeatedEvents_areSkipped() {
        mBelief.apply(stored(0, 11));
        mBelief.apply(event(1, new CacheEvent(Kind.REMOVED, 11)));
        mBelief.apply(stored(0, 11));

        assertThat(mBelief.matchingBlocks(PROMPT)).isZero();
        assertThat(mBelief.gaps()).isZero();
    }

    @Test
    void clearedCache_holdsNothing() {
        mBelief.ran(PROMPT);
        mBelief.apply(event(0, new CacheEvent(Kind.CLEARED, 0)));

        assertThat(mBelief.matchingBlocks(PROMPT)).isZero();
    }

    @Test
    void fullBelief_dropsTheEndOfTheOldestPromptFirst() {
        mBelief.ran(PROMPT);
        mBelief.ran(PrefixDigests.of(21));

        assertThat(mBelief.matchingBlocks(PROMPT)).isEqualTo(3);
        assertThat(mBelief.matchingBlocks(PrefixDigests.of(21))).isEqualTo(1);
    }

    private static CacheEvents stored(long sequence, long... digests) {
        List<CacheEvent> events =
                Arrays.stream(digests).mapToObj(d -> new CacheEvent(Kind.STORED, d)).toList();
        return new CacheEvents(new UpstreamId("u"), 0, sequence, events);
    }

    private static CacheEvents event(long sequence, CacheEvent event) {
        return new CacheEvents(new UpstreamId("u"), 0, sequence, List.of(event));
    }
}
