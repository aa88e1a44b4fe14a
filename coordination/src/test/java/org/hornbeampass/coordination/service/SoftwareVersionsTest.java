package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks when a service is known to have had one software version only. */
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
    void onlyVersion_isKnownAfterAPeriodOfObservation() {
        observe(0, PERIOD_MS, "v1");
        assertThat(mVersions.onlyVersion(PERIOD_MS - 1, "s", PERIOD_MS)).isEmpty();
        assertThat(mVersions.onlyVersion(PERIOD_MS, "s", PERIOD_MS)).contains("v1");
        assertThat(mVersions.onlyVersion(PERIOD_MS, "other", PERIOD_MS)).isEmpty();
    }

    @Test
    void formerVersion_countsUntilItsStreamsCanNotBeTakenUp() {
        observe(0, 50_000, "v1");
        observe(40_000, 200_000, "v2");
        assertThat(mVersions.onlyVersion(60_000, "s", PERIOD_MS)).isEmpty();
        assertThat(mVersions.onlyVersion(50_000 + PERIOD_MS, "s", PERIOD_MS)).isEmpty();
        assertThat(mVersions.onlyVersion(50_001 + PERIOD_MS, "s", PERIOD_MS)).contains("v2");
    }

    @Test
    void nothingObserved_givesNoVersion() {
        assertThat(mVersions.onlyVersion(PERIOD_MS, "s", PERIOD_MS)).isEmpty();
    }
}
