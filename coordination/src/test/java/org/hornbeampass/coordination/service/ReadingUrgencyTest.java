package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that less to read never ranks behind more. */
class ReadingUrgencyTest {
    @Test
    void shorterPrompt_neverRanksBehindALongerOne() {
        int before = 0;
        for (long tokens = 0; tokens < 100_000; tokens += 500) {
            int rank = ReadingUrgency.of(tokens).rank();
            assertThat(rank).isBetween(before, 9);
            before = rank;
        }
    }

    @Test
    void boundaries_belongToTheShorterKind() {
        assertThat(ReadingUrgency.of(2_000)).isEqualTo(ReadingUrgency.SHORT);
        assertThat(ReadingUrgency.of(2_001)).isEqualTo(ReadingUrgency.MEDIUM);
        assertThat(ReadingUrgency.of(Long.MAX_VALUE)).isEqualTo(ReadingUrgency.HUGE);
    }
}
