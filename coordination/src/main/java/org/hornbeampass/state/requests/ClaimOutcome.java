package org.hornbeampass.state.requests;

import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of a claim.
 *
 * <p>Invariant: a recorded outcome is present if and only if the status is {@code RECORDED}.
 * Immutable; safe for use by any thread.
 *
 * @param status the status of the claim
 * @param recorded the recorded outcome of the call, if its status is {@code RECORDED}
 */
public record ClaimOutcome(Status status, Optional<CallOutcome> recorded) {
    /** The possible results of a claim. */
    public enum Status {
        /** This attempt, and never another one, may run the call. */
        GRANTED,
        /** Another attempt may be running the call; a later retry may find its outcome. */
        RUNNING,
        /** Another attempt ran the call and its outcome is known. */
        RECORDED,
        /** Another attempt may have run the call, and its VM is gone. */
        OUTCOME_UNKNOWN,
        /** The id was used before for another body; the call was not run. */
        KEY_REUSED,
        /** The id is too old to be distinguished from a used one; the call was not run. */
        EXPIRED
    }

    /** Checks the invariant. */
    public ClaimOutcome {
        Objects.requireNonNull(status, "status");
        if (recorded.isPresent() != (status == Status.RECORDED)) {
            throw new IllegalArgumentException(
                    "an outcome must be present if and only if the status is RECORDED");
        }
    }

    /** Returns the outcome of a claim for whose call no outcome is recorded. */
    public static ClaimOutcome of(Status status) {
        return new ClaimOutcome(status, Optional.empty());
    }

    /** Returns the outcome of a claim for whose call an outcome is recorded. */
    public static ClaimOutcome recorded(CallOutcome outcome) {
        return new ClaimOutcome(Status.RECORDED, Optional.of(outcome));
    }
}
