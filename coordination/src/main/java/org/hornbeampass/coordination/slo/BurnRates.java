package org.hornbeampass.coordination.slo;

/**
 * The arithmetic of burn rates.
 *
 * <p>The error budget is the share of requests that may be bad, {@code 1 - target}. The burn rate
 * is the share that was bad over the budget: at 1 the budget lasts exactly for the period, at 2
 * half as long. Stateless; safe for use by any thread.
 */
public final class BurnRates {
    private BurnRates() {}

    /** Returns the burn rate; 0 where no request counts. */
    public static double rate(Counts counts, double target) {
        return counts.total() == 0 ? 0 : (double) counts.bad() / counts.total() / (1 - target);
    }

    /**
     * Returns the share of the error budget that is left over the counts of the whole period, 1
     * where nothing is burnt, below 0 where more was bad than may be.
     */
    public static double remaining(Counts period, double target) {
        return 1 - rate(period, target);
    }

    /** Returns how many more requests of the period may be bad; negative where too many were. */
    public static long remainingBadRequests(Counts period, double target) {
        return (long) Math.floor(period.total() * (1 - target) + ROUNDING) - period.bad();
    }

    private static final double ROUNDING = 1e-9;
}
