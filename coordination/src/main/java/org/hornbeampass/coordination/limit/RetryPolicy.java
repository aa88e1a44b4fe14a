package org.hornbeampass.coordination.limit;

import org.hornbeampass.coordination.limit.RetryDecision.GiveUp;
import org.hornbeampass.coordination.limit.RetryDecision.Resume;
import org.hornbeampass.coordination.limit.RetryDecision.RetryElsewhere;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

/**
 * Decides the next step after a failed attempt.
 *
 * <p>Invariants: a request that may not be repeated is never sent again once a byte of it may have
 * been sent; an answer that was partly delivered is resumed at its exact offset or fails, and is
 * never restarted; each further attempt is taken out of the budget; a failure whose run state is
 * {@code NOT_RUN} is returned only if no attempt may have sent a byte. Stateless; thread-safe.
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;
    private static final long MIN_REMAINING_MS = 50;
    private static final long SECOND_RETRY_DELAY_MS = 100;

    /**
     * Decides the next step after one failed attempt.
     *
     * @param attempt the failed attempt
     * @param sentBefore whether an earlier attempt of the request may have sent a byte
     * @param budget the budget from which a further attempt is taken
     */
    public RetryDecision decide(
            long nowMs, FailedAttempt attempt, boolean sentBefore, RetryBudget budget) {
        boolean sent = sentBefore || attempt.outcome().mayHaveSent();
        if (sent && !attempt.repeatable()) {
            return new GiveUp(
                    Failure.of(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "the call was sent and its outcome is unknown; query it by its"
                                    + " id"));
        }
        boolean timeLeft = attempt.deadline().remainingMs(nowMs) >= MIN_REMAINING_MS;
        if (!timeLeft || attempt.attempts() >= MAX_ATTEMPTS) {
            return new GiveUp(failure(nowMs, attempt, sent));
        }
        if (attempt.delivered() > 0 && !attempt.resumable()) {
            return new GiveUp(failure(nowMs, attempt, sent));
        }
        if (!budget.tryTake()) {
            return new GiveUp(failure(nowMs, attempt, sent));
        }
        if (attempt.delivered() > 0) {
            return new Resume(attempt.delivered());
        }
        return new RetryElsewhere(attempt.attempts() > 1 ? SECOND_RETRY_DELAY_MS : 0);
    }

    private static Failure failure(long nowMs, FailedAttempt attempt, boolean sent) {
        if (attempt.delivered() > 0) {
            return Failure.of(
                    ErrorKind.STREAM_BROKEN,
                    "the answer was interrupted after " + attempt.delivered() + " parts");
        }
        if (attempt.deadline().passed(nowMs)) {
            return Failure.of(
                    sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN,
                    "the deadline passed before an upstream answered");
        }
        if (!sent) {
            return Failure.retryAfter(ErrorKind.NO_UPSTREAM, "no upstream could be reached", 1_000);
        }
        return Failure.of(ErrorKind.UPSTREAM_FAILED, "the upstream failed; retry later");
    }
}
