package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.OptionalDouble;

/** Tests which of two limits applies when answers arrive out of order. */
class RateLimitTest {
    private static RateLimit limit(double perSecond, long requestSentMs, long answeredMs) {
        return new RateLimit(OptionalDouble.of(perSecond), requestSentMs, answeredMs);
    }

    private static RateLimit none(long requestSentMs, long answeredMs) {
        return new RateLimit(OptionalDouble.empty(), requestSentMs, answeredMs);
    }

    private static void assertMerged(RateLimit first, RateLimit second, RateLimit merged) {
        assertThat(first.merge(second)).isEqualTo(merged);
        assertThat(second.merge(first)).isEqualTo(merged);
    }

    @Test
    void anyLimit_replacesUnknown() {
        RateLimit limit = limit(1, 10, 20);
        assertMerged(RateLimit.UNKNOWN, limit, limit);
    }

    @Test
    void stricterLimit_appliesAtOnce() {
        RateLimit strict = limit(1, 5, 30);
        assertMerged(limit(2, 10, 20), strict, strict);
        assertMerged(none(10, 20), strict, strict);
    }

    @Test
    void looserLimit_appliesOnlyIfItsRequestWasSentAfterTheStricterWasReceived() {
        RateLimit strict = limit(1, 10, 20);
        assertMerged(strict, limit(2, 19, 40), strict);
        assertMerged(strict, none(19, 40), strict);
        assertMerged(strict, limit(2, 20, 40), limit(2, 20, 40));
        assertMerged(strict, none(20, 40), none(20, 40));
    }

    @Test
    void equalLimits_keepTheLatestTimes() {
        assertMerged(limit(1, 10, 30), limit(1, 15, 20), limit(1, 15, 30));
    }
}
