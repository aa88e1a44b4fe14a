package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks which software versions a VM has observed, and for how long. */
class SoftwareVersionsTest {
    private static final long PERIOD_MS = 24_000;

    private final SoftwareVersions mVersions = new SoftwareVersions();

    private void observe(long fromMs, long untilMs, String version) {
        for (long t = fromMs; t <= untilMs; t += 100) {
            mVersions.onSeen(t, "s", version);
            mVersions.tick(t);
        }
    }

    @Test
    void observation_lastsSinceTheFirstUpstream() {
        assertThat(mVersions.observedForMs(0)).isZero();
        observe(1_000, PERIOD_MS, "v1");
        assertThat(mVersions.observedForMs(PERIOD_MS)).isEqualTo(PERIOD_MS - 1_000);
        assertThat(mVersions.seenWithin(PERIOD_MS, "s", PERIOD_MS)).containsExactly("v1");
        assertThat(mVersions.seenWithin(PERIOD_MS, "other", PERIOD_MS)).isEmpty();
    }

    @Test
    void formerVersion_countsUntilItsStreamsCanNotBeResumed() {
        observe(0, 50_000, "v1");
        observe(40_000, 200_000, "v2");
        assertThat(mVersions.seenWithin(60_000, "s", PERIOD_MS)).containsOnly("v1", "v2");
        assertThat(mVersions.seenWithin(50_000 + PERIOD_MS, "s", PERIOD_MS))
                .containsOnly("v1", "v2");
        assertThat(mVersions.seenWithin(50_001 + PERIOD_MS, "s", PERIOD_MS)).containsOnly("v2");
    }

    @Test
    void timeWithoutTicks_endsTheObservation() {
        observe(0, 10_000, "v1");
        observe(12_001, 15_000, "v1");
        assertThat(mVersions.observedForMs(15_000)).isEqualTo(2_999);
    }

    @Test
    void outdatedList_endsTheObservation() {
        observe(0, 10_000, "v1");
        mVersions.onInterrupted(9_000);
        assertThat(mVersions.observedForMs(10_000)).isEqualTo(1_000);
    }

    @Test
    void nothingObserved_givesNoVersion() {
        assertThat(mVersions.observedForMs(PERIOD_MS)).isZero();
        assertThat(mVersions.seenWithin(PERIOD_MS, "s", PERIOD_MS)).isEmpty();
    }
}
