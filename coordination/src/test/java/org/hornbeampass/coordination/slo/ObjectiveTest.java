package org.hornbeampass.coordination.slo;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Optional;
import java.util.OptionalLong;

/** Tests which requests count as good or bad for each {@link Objective}. */
class ObjectiveTest {
    @ParameterizedTest
    @CsvSource({
        "MALFORMED_REQUEST, -, -",
        "KEY_MISSING_OR_UNKNOWN, -, -",
        "BUDGET_EXHAUSTED, -, -",
        "RATE_LIMITED, -, -",
        "ALREADY_RUNNING, -, -",
        "BUDGET_UNREACHABLE, bad, -",
        "OVERLOADED, bad, -",
        "NO_UPSTREAM, bad, -",
        "DEADLINE_EXCEEDED_NOT_RUN, bad, -",
        "PLATFORM_UNAVAILABLE, bad, -",
        "DEADLINE_EXCEEDED, good, bad",
        "UPSTREAM_FAILED, good, bad",
        "OUTCOME_UNKNOWN, good, bad",
        "STREAM_BROKEN, good, bad",
        "INTERNAL, good, bad",
    })
    void error_countsAgainstRefusalsOrErrorsOrNeither(
            ErrorKind kind, String refusals, String errors) {
        SloSample sample = sample(Optional.of(kind), OptionalLong.empty(), OptionalLong.empty());

        assertThat(outcome(Objective.REFUSALS.evaluate(sample, 0))).isEqualTo(refusals);
        assertThat(outcome(Objective.ERRORS.evaluate(sample, 0))).isEqualTo(errors);
        assertThat(outcome(Objective.FIRST_TOKEN.evaluate(sample, 890))).isEqualTo("-");
    }

    @Test
    void fullAnswer_isGood_andLatencyIsCheckedAgainstThreshold() {
        SloSample sample = sample(Optional.empty(), OptionalLong.of(890), OptionalLong.of(46));

        assertThat(outcome(Objective.REFUSALS.evaluate(sample, 0))).isEqualTo("good");
        assertThat(outcome(Objective.ERRORS.evaluate(sample, 0))).isEqualTo("good");
        assertThat(outcome(Objective.FIRST_TOKEN.evaluate(sample, 890))).isEqualTo("good");
        assertThat(outcome(Objective.FIRST_TOKEN.evaluate(sample, 889))).isEqualTo("bad");
        assertThat(outcome(Objective.BETWEEN_TOKENS.evaluate(sample, 45))).isEqualTo("bad");
    }

    private static String outcome(Optional<Boolean> good) {
        return good.map(g -> g ? "good" : "bad").orElse("-");
    }

    private static SloSample sample(
            Optional<ErrorKind> error, OptionalLong first, OptionalLong between) {
        return new SloSample(
                new OrganisationId("o"), first, between, error, Optional.empty(), Optional.empty());
    }
}
