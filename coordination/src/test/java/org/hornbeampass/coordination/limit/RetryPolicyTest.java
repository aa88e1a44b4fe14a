package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.RetryDecision.GiveUp;
import org.hornbeampass.coordination.limit.RetryDecision.Resume;
import org.hornbeampass.coordination.limit.RetryDecision.RetryElsewhere;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.RunState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decisions of {@link RetryPolicy} and {@link HedgePolicy} on attempts. */
class RetryPolicyTest {
    private final RetryPolicy mPolicy = new RetryPolicy();
    private RetryBudget mBudget = RetryBudget.defaults();

    @ParameterizedTest
    @CsvSource({
        "CONNECT_FAILED,       true,  1, 0, false, RETRY",
        "CONNECT_FAILED,       false, 1, 0, false, RETRY",
        "CONNECT_FAILED,       false, 3, 0, false, NO_UPSTREAM",
        "BROKEN_BEFORE_ANSWER, true,  1, 0, false, RETRY",
        "BROKEN_BEFORE_ANSWER, true,  3, 0, false, UPSTREAM_FAILED",
        "BROKEN_BEFORE_ANSWER, false, 1, 0, false, OUTCOME_UNKNOWN",
        "REFUSED_OVERLOADED,   false, 1, 0, false, OUTCOME_UNKNOWN",
        "TIMED_OUT,            false, 1, 0, true,  OUTCOME_UNKNOWN",
        "SILENT,               true,  1, 0, false, RETRY",
        "SILENT,               false, 1, 0, false, OUTCOME_UNKNOWN",
        "SILENT,               true,  1, 7, true,  RESUME 7",
        "BROKEN_IN_ANSWER,     true,  1, 7, true,  RESUME 7",
        "BROKEN_IN_ANSWER,     true,  1, 7, false, STREAM_BROKEN",
        "BROKEN_IN_ANSWER,     true,  3, 7, true,  STREAM_BROKEN",
        "BROKEN_IN_ANSWER,     true,  1, 0, true,  RETRY",
        "UPSTREAM_ERROR,       true,  2, 0, false, RETRY",
    })
    void decide(
            AttemptOutcome outcome,
            boolean repeatable,
            int attempts,
            long delivered,
            boolean resumable,
            String expected) {
        FailedAttempt attempt =
                new FailedAttempt(
                        outcome, repeatable, attempts, delivered, resumable, Deadline.none());

        assertThat(name(mPolicy.decide(0, attempt, false, mBudget))).isEqualTo(expected);
    }

    @Test
    void decide_afterEarlierAttemptThatSent_neverRetriesNonRepeatableRequest() {
        FailedAttempt attempt =
                new FailedAttempt(
                        AttemptOutcome.CONNECT_FAILED, false, 2, 0, false, Deadline.none());

        assertThat(name(mPolicy.decide(0, attempt, true, mBudget))).isEqualTo("OUTCOME_UNKNOWN");
    }

    @Test
    void decide_withEmptyBudget_givesUp() {
        mBudget = new RetryBudget(10, 0, 10);
        FailedAttempt attempt =
                new FailedAttempt(
                        AttemptOutcome.CONNECT_FAILED, true, 1, 0, false, Deadline.none());

        assertThat(name(mPolicy.decide(0, attempt, false, mBudget))).isEqualTo("NO_UPSTREAM");
    }

    @Test
    void decide_afterDeadline_saysWhetherItRan() {
        FailedAttempt unsent =
                new FailedAttempt(
                        AttemptOutcome.CONNECT_FAILED, true, 1, 0, false, new Deadline(5));
        FailedAttempt sent =
                new FailedAttempt(AttemptOutcome.TIMED_OUT, true, 1, 0, false, new Deadline(5));

        assertThat(name(mPolicy.decide(5, unsent, false, mBudget)))
                .isEqualTo("DEADLINE_EXCEEDED_NOT_RUN");
        assertThat(name(mPolicy.decide(5, sent, false, mBudget))).isEqualTo("DEADLINE_EXCEEDED");
    }

    @Test
    void tryHedge_hedgesOnlyRepeatableRequestsWithinTheBudget() {
        HedgePolicy hedges = new HedgePolicy();
        RetryBudget full = new RetryBudget(10, 10, 10);

        assertThat(hedges.tryHedge(1_000, 50, false, 1, full)).isFalse();
        assertThat(hedges.tryHedge(100, 50, true, 1, full)).isFalse();
        assertThat(hedges.tryHedge(1_000, 50, true, 2, full)).isFalse();
        assertThat(hedges.tryHedge(1_000, 50, true, 1, full)).isTrue();
        assertThat(hedges.tryHedge(1_000, 50, true, 1, new RetryBudget(10, 5, 10))).isFalse();
    }

    private static String name(RetryDecision decision) {
        if (decision instanceof GiveUp giveUp) {
            return giveUp.failure().kind().name();
        }
        if (decision instanceof Resume resume) {
            return "RESUME " + resume.offset();
        }
        assertThat(decision).isInstanceOf(RetryElsewhere.class);
        return "RETRY";
    }

    @Test
    void decide_returnsNotRunKinds_onlyIfNothingWasSent() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            if (outcome.upstreamFailed()) {
                FailedAttempt attempt =
                        new FailedAttempt(outcome, true, 3, 0, false, new Deadline(1));
                GiveUp giveUp = (GiveUp) mPolicy.decide(1, attempt, false, mBudget);
                ErrorKind kind = giveUp.failure().kind();
                assertThat(kind.runState() == RunState.NOT_RUN).isEqualTo(!outcome.mayHaveSent());
            }
        }
    }
}
