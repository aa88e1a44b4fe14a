package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the timeouts that {@link AttemptTimeouts} computes from its estimates. */
class AttemptTimeoutsTest {
    private static final long NEVER = Long.MIN_VALUE;

    @ParameterizedTest
    @CsvSource({
        // first ms, gap ms, round trip ms, prompt, deadline ms -> connect, first part, idle
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
            long expectedFirstPartMs,
            long expectedIdleMs) {
        var estimates = new AttemptTimeouts.Estimates(firstMs, gapMs, roundTripMs, promptTokens);
        AttemptTimeouts timeouts =
                AttemptTimeouts.decide(
                        500, estimates, AnswerKind.STREAM, Deadline.after(500, remainingMs));

        assertThat(timeouts.connectMs()).isEqualTo(expectedConnectMs);
        assertThat(timeouts.firstPartMs()).isEqualTo(expectedFirstPartMs);
        assertThat(timeouts.idleMs()).isEqualTo(expectedIdleMs);
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
        // idle since, started, last progress at the upstream -> given up at
        "100, false, -1,    1100",
        "100, true,  -1,    1100",
        "100, false, 50,    1100",
        "100, false, 900,   1900",
        "100, true,  900,   1900",
        "100, false, 20000, 20100",
    })
    void giveUpAtMs(long idleSinceMs, boolean started, long lastProgressMs, long expectedMs) {
        long lastProgressOrNever = lastProgressMs < 0 ? NEVER : lastProgressMs;

        assertThat(typical(AnswerKind.STREAM).giveUpAtMs(idleSinceMs, started, lastProgressOrNever))
                .isEqualTo(expectedMs);
    }

    private static AttemptTimeouts typical(AnswerKind kind) {
        return AttemptTimeouts.decide(
                0, new AttemptTimeouts.Estimates(20, 10, 3, 0), kind, Deadline.after(0, 60_000));
    }
}
