package org.hornbeampass.coordination.limit;

import java.util.Objects;

/**
 * What is known when an attempt has failed, from which the next step is decided.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome how the attempt ended
 * @param repeatable whether the request may run more than once
 * @param attempts how many attempts were made, this one included
 * @param delivered how many tokens (for a plain service, bytes) of the answer went to the caller
 * @param resumable whether the upstream can resume this stream at an offset
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
            throw new IllegalArgumentException(outcome + " leaves nothing to be retried");
        }
    }
}
