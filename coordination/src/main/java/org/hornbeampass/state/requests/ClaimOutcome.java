package org.hornbeampass.state.requests;

import java.util.Objects;
import java.util.Optional;

/**
 * What came of a claim.
 *
 * <p>Invariant: an outcome is recorded exactly where the status is {@code RECORDED}. Immutable;
 * safe for use by any thread.
 *
 * @param status what came of it
 * @param recorded the recorded outcome of the call
 */
public record ClaimOutcome(Status status, Optional<CallOutcome> recorded) {
    /** What comes of claims. */
    public enum Status {
        /** This attempt, and no other ever, may run the call. */
        GRANTED,
        /** Another attempt may be running it; a later retry may find its outcome. */
        RUNNING,
        /** Another attempt ran it and its outcome is known. */
        RECORDED,
        /** Another attempt may have run it, and its VM is gone. */
        OUTCOME_UNKNOWN,
        /** The id was used before for another body; not run. */
        KEY_REUSED,
        /** The id is too old to be told from a used one; not run. */
        EXPIRED
    }

    /** Checks the invariant. */
    public ClaimOutcome {
        Objects.requireNonNull(status, "status");
        if (recorded.isPresent() != (status == Status.RECORDED)) {
            throw new IllegalArgumentException("an outcome is recorded exactly where it is known");
        }
    }

    /** Returns an outcome without a recorded one. */
    public static ClaimOutcome of(Status status) {
        return new ClaimOutcome(status, Optional.empty());
    }

    /** Returns the outcome for a call whose outcome is known. */
    public static ClaimOutcome recorded(CallOutcome outcome) {
        return new ClaimOutcome(Status.RECORDED, Optional.of(outcome));
    }
}
