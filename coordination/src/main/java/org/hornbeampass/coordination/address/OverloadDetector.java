package org.hornbeampass.coordination.address;

/**
 * Decides whether a VM carries so much more than the others, or is so late, that callers should
 * connect elsewhere; for callers that all keep to one VM.
 *
 * <p>Begins at once and ends only after a calm time, so that callers are not sent back and forth.
 * Confined to one thread.
 */
public final class OverloadDetector {
    /** The multiple of the fleet's mean from which a VM is overloaded. */
    private static final double BEGIN_RATIO = 2.5;

    /** The multiple of the fleet's mean below which an overload ends. */
    private static final double END_RATIO = 1.5;

    /** The fewest requests in progress of an overloaded VM; fewer are no burden. */
    private static final int MIN_REQUESTS = 8;

    /** The delay of the event loop from which a VM is overloaded, in milliseconds. */
    private static final long BEGIN_DELAY_MS = 80;

    /** The delay of the event loop below which an overload ends, in milliseconds. */
    private static final long END_DELAY_MS = 30;

    /** How long a VM must be calm until an overload ends, in milliseconds. */
    private static final long CALM_MS = 1_500;

    private boolean mOverloaded;
    private long mBusyMs;

    /**
     * Decides again.
     *
     * @param nowMs the present time in milliseconds
     * @param requests this VM's requests in progress
     * @param meanRequests the mean of all VMs
     * @param loopDelayMs how late the event loop is, in milliseconds
     * @return whether this VM is overloaded
     */
    public boolean update(long nowMs, int requests, double meanRequests, long loopDelayMs) {
        double ratio = mOverloaded ? END_RATIO : BEGIN_RATIO;
        long delayMs = mOverloaded ? END_DELAY_MS : BEGIN_DELAY_MS;
        boolean uneven = requests >= MIN_REQUESTS && requests >= ratio * meanRequests;
        if (uneven || loopDelayMs >= delayMs) {
            mBusyMs = nowMs;
            mOverloaded = true;
        }
        mOverloaded &= nowMs - mBusyMs < CALM_MS;
        return mOverloaded;
    }
}
