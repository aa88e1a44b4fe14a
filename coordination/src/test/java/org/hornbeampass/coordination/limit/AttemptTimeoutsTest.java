package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link AttemptTimeouts}: what is known → patience. */
class AttemptTimeoutsTest {
    private static final long NEVER = Long.MIN_VALUE;

    @ParameterizedTest
    @CsvSource({
        // first ms, gap ms, round trip ms, prompt, deadline ms -> connect, first, silence
        "0,    0,    3,   0,       60000, 300,  4800,  2000",
        "20,   10,   3,   0,       60000, 300,  1000,  1000",
        "400,  10,   3,   0,       60000, 300,  3200,  1000",
        "400,  10,   3,   20000,   60000, 300,  5200,  1000",
        "9000, 4000, 120, 9000000, 60000, 1200, 10000, 10000",
        "400,  10,   3,   0,       4000,  300,  2000,  1000",
        "400,  10,   3,   0,       800,   300,  1000,  1000",
    })
    void decide_forStream(
            double firstMs,
            double gapMs,
            double roundTripMs,
            long promptTokens,
            long remainingMs,
            long expectedConnectMs,
            long expectedFirstMs,
            long expectedSilenceMs) {
        var known = new AttemptTimeouts.Estimates(firstMs, gapMs, roundTripMs, promptTokens);
        AttemptTimeouts timeouts =
                AttemptTimeouts.decide(
                        500, known, AnswerKind.STREAM, Deadline.after(500, remainingMs));

        assertThat(timeouts.connectMs()).isEqualTo(expectedConnectMs);
        assertThat(timeouts.firstPartMs()).isEqualTo(expectedFirstMs);
        assertThat(timeouts.idleMs()).isEqualTo(expectedSilenceMs);
    }

    @Test
    void decide_forSinglePartAnswer_waitsLongerThanForFirstToken() {
        assertThat(typical(AnswerKind.SINGLE_PART).giveUpAtMs(0, false, NEVER)).isEqualTo(20_000);
    }

    @Test
    void decide_whereNotRepeatable_leavesAttemptToItsDeadline() {
        AttemptTimeouts once = typical(AnswerKind.NOT_REPEATABLE);

        assertThat(once.giveUpAtMs(0, false, NEVER)).isEqualTo(Long.MAX_VALUE);
        assertThat(once.giveUpAtMs(0, true, 100)).isEqualTo(Long.MAX_VALUE);
    }

    @ParameterizedTest
    @CsvSource({
        // quiet since, begun, progress elsewhere at the upstream -> given up at
        "100, false, -1,    1100",
        "100, true,  -1,    1100",
        "100, false, 50,    1100",
        "100, false, 900,   1900",
        "100, true,  900,   1900",
        "100, false, 20000, 20100",
    })
    void giveUpAtMs(long quietSinceMs, boolean begun, long progressMs, long expectedMs) {
        long progress = progressMs < 0 ? NEVER : progressMs;

        assertThat(typical(AnswerKind.STREAM).giveUpAtMs(quietSinceMs, begun, progress))
                .isEqualTo(expectedMs);
    }

    private static AttemptTimeouts typical(AnswerKind kind) {
        return AttemptTimeouts.decide(
                0, new AttemptTimeouts.Estimates(20, 10, 3, 0), kind, Deadline.after(0, 60_000));
    }
}
