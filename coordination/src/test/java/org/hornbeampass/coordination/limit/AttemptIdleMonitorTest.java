package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when {@link AttemptIdleMonitor} gives an attempt up, depending on parts and pauses. */
class AttemptIdleMonitorTest {
    private static final long NEVER = Long.MIN_VALUE;

    private final AttemptIdleMonitor mMonitor =
            new AttemptIdleMonitor(0, new AttemptTimeouts(300, 2_000, 1_000, 20_000));

    @Test
    void frozenBeforeFirstPart_isGivenUpAfterFirstPartTimeout() {
        assertThat(mMonitor.nextCheckMs(0, NEVER)).isEqualTo(2_000);
    }

    @Test
    void frozenInStream_isGivenUpAfterSilence() {
        mMonitor.onPart(500);

        assertThat(mMonitor.nextCheckMs(600, 500)).isEqualTo(1_500);
    }

    @Test
    void slowButAlive_isNeverGivenUp() {
        for (long nowMs = 900; nowMs < 100_000; nowMs += 900) {
            assertThat(mMonitor.nextCheckMs(nowMs, NEVER)).isGreaterThan(nowMs);
            mMonitor.onPart(nowMs);
        }
    }

    @Test
    void pausedReading_doesNotCountAsIdleTime() {
        mMonitor.onPart(500);
        mMonitor.onPaused();
        assertThat(mMonitor.nextCheckMs(50_000, 500)).isGreaterThan(50_000);

        mMonitor.onResumed(50_000);
        assertThat(mMonitor.nextCheckMs(50_000, 500)).isEqualTo(51_000);
    }

    @Test
    void onPart_returnsLongestGapAtMostOncePerInterval() {
        assertThat(mMonitor.onPart(500)).isZero();
        assertThat(mMonitor.onPart(580)).isEqualTo(-1);
        assertThat(mMonitor.onPart(590)).isEqualTo(-1);
        assertThat(mMonitor.onPart(610)).isEqualTo(80);
    }
}
