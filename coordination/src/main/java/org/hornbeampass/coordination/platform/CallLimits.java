package org.hornbeampass.coordination.platform;

/**
 * One VM's share of the platform's limits.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param readsPerSecond reads and listings per second
 * @param writesPerSecond writes per second
 * @param watchesPerSecond watches started per second
 * @param burstSeconds how many seconds' worth of calls may be made at once, at least one call
 * @param maxQueued how many calls of one kind may wait
 */
public record CallLimits(
        double readsPerSecond,
        double writesPerSecond,
        double watchesPerSecond,
        double burstSeconds,
        int maxQueued) {
    /** Checks that each limit is positive. */
    public CallLimits {
        boolean positive =
                readsPerSecond > 0
                        && writesPerSecond > 0
                        && watchesPerSecond > 0
                        && burstSeconds > 0
                        && maxQueued > 0;
        if (!positive) {
            throw new IllegalArgumentException("limits of platform calls must be positive");
        }
    }

    /** Returns the limit of a kind in calls per second. */
    public double perSecond(PlatformCall.Kind kind) {
        return switch (kind) {
            case READ -> readsPerSecond;
            case WRITE -> writesPerSecond;
            case WATCH -> watchesPerSecond;
        };
    }
}
