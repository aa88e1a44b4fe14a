package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.OptionalDouble;

/** Checks which of two limits holds where answers overtake one another. */
class RateLimitTest {
    private static RateLimit limit(double perSecond, long askedMs, long heardMs) {
        return new RateLimit(OptionalDouble.of(perSecond), askedMs, heardMs);
    }

    private static RateLimit none(long askedMs, long heardMs) {
        return new RateLimit(OptionalDouble.empty(), askedMs, heardMs);
    }

    private static void assertMerged(RateLimit first, RateLimit second, RateLimit merged) {
        assertThat(first.merge(second)).isEqualTo(merged);
        assertThat(second.merge(first)).isEqualTo(merged);
    }

    @Test
    void anyLimit_holdsOverNothingKnown() {
        RateLimit limit = limit(1, 10, 20);
        assertMerged(RateLimit.UNKNOWN, limit, limit);
    }

    @Test
    void stricterLimit_holdsAtOnce() {
        RateLimit strict = limit(1, 5, 30);
        assertMerged(limit(2, 10, 20), strict, strict);
        assertMerged(none(10, 20), strict, strict);
    }

    @Test
    void looserLimit_holdsOnlyWhereItsRequestWasSentAfterTheStricterWasHeard() {
        RateLimit strict = limit(1, 10, 20);
        assertMerged(strict, limit(2, 19, 40), strict);
        assertMerged(strict, none(19, 40), strict);
        assertMerged(strict, limit(2, 20, 40), limit(2, 20, 40));
        assertMerged(strict, none(20, 40), none(20, 40));
    }

    @Test
    void sameLimit_keepsTheLatestTimes() {
        assertMerged(limit(1, 10, 30), limit(1, 15, 20), limit(1, 15, 30));
    }
}
