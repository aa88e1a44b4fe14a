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

    private final PrefixCacheEstimate mEstimate = new PrefixCacheEstimate(4);

    @Test
    void matchingBlocks_countsLeadingBlocksOnly() {
        mEstimate.onServed(PrefixDigests.of(11, 12));

        assertThat(mEstimate.matchingBlocks(PROMPT)).isEqualTo(2);
        assertThat(mEstimate.matchingBlocks(PrefixDigests.of(99, 12))).isZero();
        assertThat(mEstimate.matchingBlocks(PrefixDigests.none())).isZero();
    }

    @Test
    void gapInEvents_clearsTheEstimate() {
        mEstimate.apply(stored(0, 11, 12));
        mEstimate.apply(stored(3, 13));

        assertThat(mEstimate.matchingBlocks(PROMPT)).isZero();
        assertThat(mEstimate.gaps()).isEqualTo(1);
    }

    @Test
    void repeatedEvents_areSkipped() {
        mEstimate.apply(stored(0, 11));
        mEstimate.apply(event(1, new CacheEvent(Kind.REMOVED, 11)));
        mEstimate.apply(stored(0, 11));

        assertThat(mEstimate.matchingBlocks(PROMPT)).isZero();
        assertThat(mEstimate.gaps()).isZero();
    }

    @Test
    void clearedCache_matchesNoBlocks() {
        mEstimate.onServed(PROMPT);
        mEstimate.apply(event(0, new CacheEvent(Kind.CLEARED, 0)));

        assertThat(mEstimate.matchingBlocks(PROMPT)).isZero();
    }

    @Test
    void fullEstimate_dropsTheEndOfTheOldestPromptFirst() {
        mEstimate.onServed(PROMPT);
        mEstimate.onServed(PrefixDigests.of(21));

        assertThat(mEstimate.matchingBlocks(PROMPT)).isEqualTo(3);
        assertThat(mEstimate.matchingBlocks(PrefixDigests.of(21))).isEqualTo(1);
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
