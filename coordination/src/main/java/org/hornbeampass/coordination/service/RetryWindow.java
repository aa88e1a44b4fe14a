package org.hornbeampass.coordination.service;

import org.agrona.collections.LongArrayList;

/**
 * One VM's share of the fleet's retry budget for one service.
 *
 * <p>Invariant: in any window, the granted retries never exceed the configured ratio times the
 * first sends in that window plus this VM's share of the fixed part, so that all VMs together stay
 * within the fleet's budget. Confined to one thread.
 */
public final class RetryWindow {
    /**
     * The share of the budget that is used; the rest covers VMs that count a different number of
     * VMs.
     */
    private static final double SAFETY_FACTOR = 0.85;

    private final long mWindowMs;
    private final LongArrayList mFirstSends = new LongArrayList();
    private final LongArrayList mRetries = new LongArrayList();

    /** Creates an empty window of the given length in milliseconds. */
    public RetryWindow(long windowMs) {
        mWindowMs = windowMs;
    }

    /** Counts the first send of a request. */
    public void onFirstSend(long nowMs) {
        dropExpired(mFirstSends, nowMs);
        mFirstSends.addLong(nowMs);
    }

    /**
     * Returns whether the budget has a retry left.
     *
     * @param nowMs the present time in milliseconds
     * @param ratio retries for each first send, from the settings
     * @param extra the retries that the whole fleet has in each window in addition, from the
     *     settings
     * @param vms how many VMs share {@code extra}
     */
    public boolean isAvailable(long nowMs, double ratio, double extra, int vms) {
        dropExpired(mFirstSends, nowMs);
        dropExpired(mRetries, nowMs);
        double allowed = SAFETY_FACTOR * (ratio * mFirstSends.size() + extra / Math.max(1, vms));
        return mRetries.size() + 1 <= allowed;
    }

    /**
     * Takes one retry out of the budget, if it has one left.
     *
     * @param nowMs the present time in milliseconds
     * @param ratio retries for each first send, from the settings
     * @param extra the retries that the whole fleet has in each window in addition, from the
     *     settings
     * @param vms how many VMs share {@code extra}
     * @return whether the retry may be sent
     */
    public boolean tryTake(long nowMs, double ratio, double extra, int vms) {
        boolean available = isAvailable(nowMs, ratio, extra, vms);
        if (available) {
            mRetries.addLong(nowMs);
        }
        return available;
    }

    private void dropExpired(LongArrayList times, long nowMs) {
        int old = 0;
        while (old < times.size() && times.getLong(old) <= nowMs - mWindowMs) {
            old++;
        }
        if (old == 0) {
            return;
        }
        int kept = times.size() - old;
        for (int i = 0; i < kept; i++) {
            times.setLong(i, times.getLong(i + old));
        }
        while (times.size() > kept) {
            times.removeAt(times.size() - 1);
        }
    }
}
