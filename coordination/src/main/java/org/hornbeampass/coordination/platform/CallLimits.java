package org.hornbeampass.coordination.platform;

/**
 * One VM's share of the platform's rate limits.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param readsPerSecond reads and listings per second
 * @param writesPerSecond writes per second
 * @param watchesPerSecond watches started per second
 * @param burstSeconds the burst size, as the number of seconds at the full rate; at least one call
 * @param maxQueued the maximum number of queued calls of each kind
 */
public record CallLimits(
        double readsPerSecond,
        double writesPerSecond,
        double watchesPerSecond,
        double burstSeconds,
        int maxQueued) {
    /** Checks that each limit is positive. */
    public CallLimits {
        boolean allPositive =
                readsPerSecond > 0
                        && writesPerSecond > 0
                        && watchesPerSecond > 0
                        && burstSeconds > 0
                        && maxQueued > 0;
        if (!allPositive) {
            throw new IllegalArgumentException("platform call limits must be positive");
        }
    }

    /** Returns the rate limit of a kind in calls per second. */
    public double perSecond(PlatformCall.Kind kind) {
        return switch (kind) {
            case READ -> readsPerSecond;
            case WRITE -> writesPerSecond;
            case WATCH -> watchesPerSecond;
        };
    }
}
