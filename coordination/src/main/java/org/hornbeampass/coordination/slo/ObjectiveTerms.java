package org.hornbeampass.coordination.slo;

/**
 * How much of an objective is promised.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param thresholdMs the time that is promised, in milliseconds; 0 where the objective has none
 * @param target the share of requests that must be good, above 0 and below 1
 */
public record ObjectiveTerms(long thresholdMs, double target) {
    /** Checks the bounds. */
    public ObjectiveTerms {
        boolean share = target > 0 && target < 1;
        if (!share || thresholdMs < 0) {
            throw new IllegalArgumentException(
                    "target must lie between 0 and 1 and the threshold must not be negative, not "
                            + target
                            + " and "
                            + thresholdMs);
        }
    }
}
