package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.hornbeampass.coordination.limit.RetryDecision.Resume;
import org.hornbeampass.coordination.limit.RetryDecision.RetryElsewhere;
import org.hornbeampass.state.RunState;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/** Checks random sequences of failing attempts: which requests may be sent again, and how often. */
class RetryProperties {
    private static final int REQUESTS = 400;
    private static final int INITIAL_BALANCE = 5;
    private static final List<AttemptOutcome> FAILURES =
            List.of(
                    AttemptOutcome.CONNECT_FAILED,
                    AttemptOutcome.REFUSED_OVERLOADED,
                    AttemptOutcome.UPSTREAM_ERROR,
                    AttemptOutcome.BROKEN_BEFORE_ANSWER,
                    AttemptOutcome.BROKEN_IN_ANSWER,
                    AttemptOutcome.TIMED_OUT);

    /** The real policy or a faulty variant, which the checks must detect. */
    private interface Policy {
        RetryDecision decide(FailedAttempt attempt, boolean sentBefore, RetryBudget budget);
    }

    private static RetryDecision realPolicy(
            FailedAttempt attempt, boolean sent, RetryBudget budget) {
        return new RetryPolicy().decide(0, attempt, sent, budget);
    }

    private static RetryDecision ignoresBudget(
            FailedAttempt attempt, boolean sent, RetryBudget budget) {
        return realPolicy(attempt, sent, new RetryBudget(10, 100, 100));
    }

    private static RetryDecision forgetsEarlierAttempts(
            FailedAttempt attempt, boolean sent, RetryBudget budget) {
        return realPolicy(attempt, false, budget);
    }

    private static RetryDecision treatsAllAsRepeatable(
            FailedAttempt attempt, boolean sent, RetryBudget budget) {
        return realPolicy(with(attempt, true, attempt.delivered()), sent, budget);
    }

    private static RetryDecision restartsAnswer(
            FailedAttempt attempt, boolean sent, RetryBudget budget) {
        return realPolicy(with(attempt, attempt.repeatable(), 0), sent, budget);
    }

    private static FailedAttempt with(FailedAttempt attempt, boolean repeatable, long delivered) {
        return new FailedAttempt(
                attempt.outcome(),
                repeatable,
                attempt.attempts(),
                delivered,
                attempt.resumable(),
                attempt.deadline());
    }

    /** Runs requests whose attempts fail and returns the first violation of a rule. */
    private static Optional<String> run(long seed, Policy policy) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget(10, INITIAL_BALANCE, 50);
        int further = 0;
        for (int request = 1; request <= REQUESTS; request++) {
            budget.onFirstAttempt();
            boolean repeatable = random.nextInt(3) > 0;
            boolean sent = false;
            for (int attempts = 1; ; attempts++) {
                AttemptOutcome outcome = FAILURES.get(random.nextInt(FAILURES.size()));
                boolean inAnswer = outcome == AttemptOutcome.BROKEN_IN_ANSWER;
                long delivered = inAnswer ? 1 + random.nextInt(9) : 0;
                FailedAttempt failed =
                        new FailedAttempt(
                                outcome,
                                repeatable,
                                attempts,
                                delivered,
                                random.nextBoolean(),
                                Deadline.none());
                RetryDecision decision = policy.decide(failed, sent, budget);
                sent |= outcome.mayHaveSent();
                if (decision instanceof RetryDecision.GiveUp giveUp) {
                    RunState state = giveUp.failure().kind().runState();
                    if (sent && state == RunState.NOT_RUN) {
                        return Optional.of("reported as not run after a byte was sent");
                    }
                    break;
                }
                further++;
                Optional<String> violation = checkRules(decision, sent, failed);
                if (violation.isPresent()) {
                    return violation;
                }
                if (further > INITIAL_BALANCE + request / 10.0) {
                    return Optional.of("more further attempts than a tenth of the first attempts");
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<String> checkRules(
            RetryDecision decision, boolean sent, FailedAttempt failed) {
        if (sent && !failed.repeatable()) {
            return Optional.of("a non-repeatable request sent again after a byte was sent");
        }
        if (failed.attempts() >= 3) {
            return Optional.of("more than three attempts");
        }
        if (decision instanceof RetryElsewhere && failed.delivered() > 0) {
            return Optional.of("an answer restarted after a part was delivered");
        }
        if (decision instanceof Resume resume && resume.offset() != failed.delivered()) {
            return Optional.of("an answer resumed at a wrong offset");
        }
        return Optional.empty();
    }

    @Property(seed = "12", tries = 200)
    void retries_keepTheRules(@ForAll long seed) {
        assertThat(run(seed, RetryProperties::realPolicy)).isEmpty();
    }

    @Test
    void mutants_areCaught() {
        List<Policy> mutants =
                List.of(
                        RetryProperties::ignoresBudget,
                        RetryProperties::forgetsEarlierAttempts,
                        RetryProperties::treatsAllAsRepeatable,
                        RetryProperties::restartsAnswer);
        for (int i = 0; i < mutants.size(); i++) {
            Policy mutant = mutants.get(i);
            assertThat(LongStream.range(0, 200).anyMatch(s -> run(s, mutant).isPresent()))
                    .as("mutant " + i)
                    .isTrue();
        }
    }
}
