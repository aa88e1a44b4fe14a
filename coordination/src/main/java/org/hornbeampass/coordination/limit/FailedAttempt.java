package org.hornbeampass.coordination.limit;

import java.util.Objects;

/**
 * A failed attempt, from which {@link RetryPolicy} decides the next step.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome how the attempt ended
 * @param repeatable whether the request may run more than once
 * @param attempts the number of attempts made, including this one
 * @param delivered the number of tokens of the answer sent to the caller, or bytes for a plain
 *     service
 * @param resumable whether the upstream can resume the stream at an offset
 * @param deadline when the answer is due
 */
public record FailedAttempt(
        AttemptOutcome outcome,
        boolean repeatable,
        int attempts,
        long delivered,
        boolean resumable,
        Deadline deadline) {
    /** Checks that the outcome is a failure. */
    public FailedAttempt {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(deadline, "deadline");
        boolean ended =
                outcome == AttemptOutcome.SUCCEEDED
                        || outcome == AttemptOutcome.REJECTED
                        || outcome == AttemptOutcome.CANCELLED;
        if (ended) {
            throw new IllegalArgumentException(outcome + " is not a failure that can be retried");
        }
    }
}
