package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that a shorter prompt never ranks behind a longer one. */
class PrefillUrgencyTest {
    @Test
    void shorterPrompt_neverRanksBehindALongerOne() {
        int before = 0;
        for (long tokens = 0; tokens < 100_000; tokens += 500) {
            int rank = PrefillUrgency.of(tokens).rank();
            assertThat(rank).isBetween(before, 9);
            before = rank;
        }
    }

    @Test
    void boundaries_belongToTheShorterClass() {
        assertThat(PrefillUrgency.of(2_000)).isEqualTo(PrefillUrgency.SHORT);
        assertThat(PrefillUrgency.of(2_001)).isEqualTo(PrefillUrgency.MEDIUM);
        assertThat(PrefillUrgency.of(Long.MAX_VALUE)).isEqualTo(PrefillUrgency.HUGE);
    }
}
