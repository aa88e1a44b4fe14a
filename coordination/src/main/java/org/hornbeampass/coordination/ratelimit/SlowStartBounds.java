package org.hornbeampass.coordination.ratelimit;

/**
 * The bound on the requests that all VMs together send to an upstream in its slow start: in any
 * second at most {@code excess} times its rate plus {@code extra}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param excess the factor of the rate
 * @param extra the requests beyond it
 */
public record SlowStartBounds(double excess, double extra) {
    /** The bound where the settings state none: the rate itself and two requests. */
    public static final SlowStartBounds DEFAULT = new SlowStartBounds(1, 2);

    private static final double SECOND_MS = 1_000;
    private static final double MIN_BURST = 1;
    private static final double MAX_BURST = 3;

    /** The share of an upstream's rate that is issued; the rest covers delays on the way. */
    private static final double USED_SHARE = 0.97;

    /** The lowest rate of one issuer, which keeps an upstream from being left out for good. */
    private static final double MIN_PER_SECOND = 0.05;

    /**
     * What one of several issuers may issue.
     *
     * @param perSecond permits per second
     * @param burst the most permits at once
     */
    record Share(double perSecond, double burst) {}

    /**
     * Returns the share of each issuer, with which the bound also holds if the VMs disagree about
     * the issuers and there is one more of them.
     *
     * @param perSecond the rate of the upstream
     * @param issuers how many VMs issue its permits
     * @param validityMs how long a permit may be used, in milliseconds
     */
    Share share(double perSecond, int issuers, long validityMs) {
        double bound = (excess * perSecond + extra) / (issuers + 1);
        double window = 1 + validityMs / SECOND_MS;
        double most = (bound - MIN_BURST) / window;
        double rate = Math.max(MIN_PER_SECOND, Math.min(USED_SHARE * perSecond / issuers, most));
        double burst = Math.max(MIN_BURST, Math.min(MAX_BURST, bound - rate * window));
        return new Share(rate, burst);
    }
}
