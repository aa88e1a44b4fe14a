package org.hornbeampass.coordination.limit;

import org.hornbeampass.coordination.limit.RetryDecision.GiveUp;
import org.hornbeampass.coordination.limit.RetryDecision.Resume;
import org.hornbeampass.coordination.limit.RetryDecision.RetryElsewhere;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

/**
 * Decides what follows a failed attempt.
 *
 * <p>Invariants: a request that may not be repeated is never sent again once a byte of it may have
 * been sent; an answer of which a part was delivered is resumed at its exact offset or fails, never
 * begun anew; each further attempt comes out of the budget; {@code NOT_RUN} kinds are answered only
 * where no attempt sent a byte. Stateless; thread-safe.
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;
    private static final long MIN_REMAINING_MS = 50;
    private static final long SECOND_RETRY_DELAY_MS = 100;

    /**
     * Decides on one failed attempt.
     *
     * @param attempt what is known of it
     * @param sentBefore whether an earlier attempt of the request may have sent a byte
     * @param budget from which a further attempt is taken
     */
    public RetryDecision decide(
            long nowMs, FailedAttempt attempt, boolean sentBefore, RetryBudget budget) {
        boolean sent = sentBefore || attempt.outcome().mayHaveSent();
        if (sent && !attempt.repeatable()) {
            return new GiveUp(
                    Failure.of(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "the call was sent and its outcome is not known; ask for it by its"
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
                    "the answer broke off after " + attempt.delivered() + " parts");
        }
        if (attempt.deadline().passed(nowMs)) {
            return Failure.of(
                    sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN,
                    "the deadline passed before an upstream answered");
        }
        if (!sent) {
            return Failure.retryAfter(ErrorKind.NO_UPSTREAM, "no upstream could be reached", 1_000);
        }
        return Failure.of(ErrorKind.UPSTREAM_FAILED, "the upstream failed; ask again later");
    }
}
