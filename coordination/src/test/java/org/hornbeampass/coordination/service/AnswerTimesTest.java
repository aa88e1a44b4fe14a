package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Checks the estimates of how long requests take. */
class AnswerTimesTest {
    private final AnswerTimes mTimes = new AnswerTimes();

    @Test
    void routeWithoutAnswers_hasNoEstimate() {
        mTimes.onAnswered("r-1", 10);
        assertThat(mTimes.expectedMs("r-2", 0.95)).isEmpty();
    }

    @Test
    void estimate_isThatOfTheRecentAnswers() {
        for (int i = 1; i <= 60; i++) {
            mTimes.onAnswered("r-1", i < 6 ? 2_500 : 100);
        }
        assertThat(mTimes.expectedMs("r-1", 0.95)).hasValue(2_500);
        assertThat(mTimes.expectedMs("r-1", 0.5)).hasValue(100);
        for (int i = 0; i < 60; i++) {
            mTimes.onAnswered("r-1", 100);
        }
        assertThat(mTimes.expectedMs("r-1", 0.95)).hasValue(100);
    }

    @Test
    void routeThatIsNoLongerConfigured_isForgotten() {
        mTimes.onAnswered("r-1", 10);
        mTimes.retain(List.of());
        assertThat(mTimes.expectedMs("r-1", 0.95)).isEmpty();
    }
}
