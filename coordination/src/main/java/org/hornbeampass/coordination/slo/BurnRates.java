package org.hornbeampass.coordination.slo;

/**
 * Computes burn rates and what is left of error budgets.
 *
 * <p>The error budget is the share of requests that may be bad, {@code 1 - target}. The burn rate
 * is the share that was bad divided by the error budget: at 1 the budget lasts exactly for the
 * period, at 2 half as long. Stateless; safe for use by any thread.
 */
public final class BurnRates {
    private BurnRates() {}

    /** Returns the burn rate; 0 if no request was counted. */
    public static double rate(Counts counts, double target) {
        return counts.total() == 0 ? 0 : (double) counts.bad() / counts.total() / (1 - target);
    }

    /**
     * Returns the share of the error budget that is left, computed from the counts of the whole
     * period: 1 if no request was bad, below 0 if more requests were bad than the target allows.
     */
    public static double remaining(Counts period, double target) {
        return 1 - rate(period, target);
    }

    /** Returns how many more requests of the period may be bad; negative if too many were bad. */
    public static long remainingBadRequests(Counts period, double target) {
        return (long) Math.floor(period.total() * (1 - target) + ROUNDING_TOLERANCE) - period.bad();
    }

    private static final double ROUNDING_TOLERANCE = 1e-9;
}
