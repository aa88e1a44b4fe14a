package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link WeightPacer}. */
class WeightPacerTest {
    private final WeightPacer mPacer = new WeightPacer(1_000);

    @Test
    void reserve_ofChunksAtOnce_sharesTheRate() {
        assertThat(mPacer.reserve(0, 500)).isEqualTo(500);
        assertThat(mPacer.reserve(0, 500)).isEqualTo(1_000);
        assertThat(mPacer.reserve(100, 500)).isEqualTo(1_500);
    }

    @Test
    void reserve_afterIdleTime_startsNow() {
        mPacer.reserve(0, 500);

        assertThat(mPacer.reserve(10_000, 500)).isEqualTo(10_500);
    }
}
