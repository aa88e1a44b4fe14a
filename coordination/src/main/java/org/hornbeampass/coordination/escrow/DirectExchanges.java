package org.hornbeampass.coordination.escrow;

/**
 * Decides when a VM that is not a home of a pool may exchange with the store about it.
 *
 * <p>Not thread-safe; must be used on one thread.
 */
final class DirectExchanges {
    /**
     * The time for which such a VM may exchange with the store, in milliseconds, after another VM
     * took it for a home or after no home answered it. It covers the time until all VMs know the
     * same members.
     */
    private static final long DURATION_MS = 3_000;

    /**
     * The time after a failed exchange until the next one, in milliseconds: in an outage for all,
     * each VM of a large fleet would try.
     */
    private static final long RETRY_MS = 8_000;

    private long mUntilMs = Long.MIN_VALUE;
    private long mNextMs = Long.MIN_VALUE;

    /** Allows exchanges for a limited time. */
    void allow(long nowMs) {
        mUntilMs = nowMs + DURATION_MS;
    }

    /** Returns whether exchanges are currently allowed. */
    boolean areAllowed(long nowMs) {
        return nowMs < mUntilMs;
    }

    /** Returns whether the last exchange has not failed recently. */
    boolean mayBegin(long nowMs) {
        return nowMs >= mNextMs;
    }

    /** Handles that an exchange has failed. */
    void onFailed(long nowMs) {
        mUntilMs = nowMs;
        mNextMs = nowMs + RETRY_MS;
    }
}
