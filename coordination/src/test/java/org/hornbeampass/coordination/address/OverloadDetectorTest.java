package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a VM asks callers to connect elsewhere. */
class OverloadDetectorTest {
    private final OverloadDetector mDetector = new OverloadDetector();

    @Test
    void vmWithManyTimesTheMean_isOverloadedUntilItIsCalm() {
        assertThat(mDetector.update(0, 10, 9, 0)).isFalse();
        assertThat(mDetector.update(100, 25, 9, 0)).isTrue();
        assertThat(mDetector.update(200, 10, 9, 0)).isTrue();
        assertThat(mDetector.update(1_500, 10, 9, 0)).isTrue();
        assertThat(mDetector.update(1_600, 10, 9, 0)).isFalse();
    }

    @Test
    void loadThatStaysUneven_keepsTheOverload() {
        mDetector.update(0, 30, 9, 0);
        for (long t = 100; t < 10_000; t += 100) {
            assertThat(mDetector.update(t, 15, 9, 0)).isTrue();
        }
    }

    @Test
    void fewRequests_areNoOverload() {
        assertThat(mDetector.update(0, 7, 0.1, 0)).isFalse();
    }

    @Test
    void lateEventLoop_isAnOverload() {
        assertThat(mDetector.update(0, 1, 1, 79)).isFalse();
        assertThat(mDetector.update(100, 1, 1, 80)).isTrue();
    }
}
