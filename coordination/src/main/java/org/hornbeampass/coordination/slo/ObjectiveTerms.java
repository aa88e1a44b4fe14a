package org.hornbeampass.coordination.slo;

/**
 * The threshold and the target of one objective.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param thresholdMs the time limit in milliseconds; 0 if the objective has none
 * @param target the share of requests that must be good, above 0 and below 1
 */
public record ObjectiveTerms(long thresholdMs, double target) {
    /** Checks the bounds of both values. */
    public ObjectiveTerms {
        boolean share = target > 0 && target < 1;
        if (!share || thresholdMs < 0) {
            throw new IllegalArgumentException(
                    "target must be between 0 and 1 and threshold must not be negative, but they"
                            + " are "
                            + target
                            + " and "
                            + thresholdMs);
        }
    }
}
