package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link AttemptWatch}: parts and pauses → when the attempt is given up. */
class AttemptWatchTest {
    private static final long NEVER = Long.MIN_VALUE;

    private final AttemptWatch mWatch =
            new AttemptWatch(0, new AttemptTimeouts(300, 2_000, 1_000, 20_000));

    @Test
    void frozenBeforeFirstPart_isGivenUpAfterPatienceForFirstPart() {
        assertThat(mWatch.nextLookMs(0, NEVER)).isEqualTo(2_000);
    }

    @Test
    void frozenInStream_isGivenUpAfterSilence() {
        mWatch.onPart(500);

        assertThat(mWatch.nextLookMs(600, 500)).isEqualTo(1_500);
    }

    @Test
    void slowButAlive_isNeverGivenUp() {
        for (long nowMs = 900; nowMs < 100_000; nowMs += 900) {
            assertThat(mWatch.nextLookMs(nowMs, NEVER)).isGreaterThan(nowMs);
            mWatch.onPart(nowMs);
        }
    }

    @Test
    void whileThisVmDoesNotRead_silenceIsNotHeldAgainstUpstream() {
        mWatch.onPart(500);
        mWatch.onPaused();
        assertThat(mWatch.nextLookMs(50_000, 500)).isGreaterThan(50_000);

        mWatch.onResumed(50_000);
        assertThat(mWatch.nextLookMs(50_000, 500)).isEqualTo(51_000);
    }

    @Test
    void onPart_tellsLongestGapAndNotTooOften() {
        assertThat(mWatch.onPart(500)).isZero();
        assertThat(mWatch.onPart(580)).isEqualTo(-1);
        assertThat(mWatch.onPart(590)).isEqualTo(-1);
        assertThat(mWatch.onPart(610)).isEqualTo(80);
    }
}
