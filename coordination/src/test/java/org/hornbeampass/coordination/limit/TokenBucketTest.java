package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards {@link TokenBucket} against more tokens than the rate and the burst allow, and against a
 * wrong time of the next token.
 */
class TokenBucketTest {
    @Test
    void fullBucket_allowsABurstAndThenTheRate() {
        TokenBucket bucket = TokenBucket.full(2, 3, 0);
        for (int i = 0; i < 3; i++) {
            assertThat(bucket.tryTake(0)).isTrue();
        }
        assertThat(bucket.tryTake(0)).isFalse();
        assertThat(bucket.untilNextMs(0)).isEqualTo(500);
        assertThat(bucket.tryTake(500)).isTrue();
    }

    @Test
    void emptyBucket_fillsFromItsStartTime() {
        TokenBucket bucket = TokenBucket.empty(1, 2, 1_000);
        assertThat(bucket.untilNextMs(0)).isEqualTo(2_000);
        assertThat(bucket.tryTake(1_999)).isFalse();
        assertThat(bucket.tryTake(2_000)).isTrue();
    }

    @Test
    void longPause_accumulatesAtMostTheBurst() {
        TokenBucket bucket = TokenBucket.empty(10, 2, 0);
        assertThat(bucket.tryTake(60_000)).isTrue();
        assertThat(bucket.tryTake(60_000)).isTrue();
        assertThat(bucket.tryTake(60_000)).isFalse();
    }

    @Test
    void lowerBurst_discardsExcessTokens() {
        TokenBucket bucket = TokenBucket.full(10, 10, 0);
        bucket.setRate(0, 1, 1);
        assertThat(bucket.tryTake(0)).isTrue();
        assertThat(bucket.tryTake(0)).isFalse();
    }

    @Test
    void clockGoingBackwards_addsNoTokens() {
        TokenBucket bucket = TokenBucket.empty(1, 1, 5_000);
        assertThat(bucket.tryTake(0)).isFalse();
        assertThat(bucket.tryTake(5_500)).isFalse();
        assertThat(bucket.tryTake(6_000)).isTrue();
    }
}
