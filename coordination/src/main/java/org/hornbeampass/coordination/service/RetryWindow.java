package org.hornbeampass.coordination.service;

import org.agrona.collections.LongArrayList;

/**
 * One VM's share of the fleet's budget for sending requests more than once, for one service.
 *
 * <p>Invariant: in any window, what is granted stays at or below the ratio of the first sends in
 * that window plus this VM's share of the fixed part, so that the VMs' grants together stay within
 * the fleet's budget. Confined to one thread.
 */
public final class RetryWindow {
    /** What is kept back for VMs whose count of the fleet differs, as a share. */
    private static final double SAFETY_FACTOR = 0.85;

    private final long mWindowMs;
    private final LongArrayList mFirstSends = new LongArrayList();
    private final LongArrayList mRetries = new LongArrayList();

    /** Makes an empty window of a length in milliseconds. */
    public RetryWindow(long windowMs) {
        mWindowMs = windowMs;
    }

    /** Counts a request that is sent for the first time. */
    public void onFirstSend(long nowMs) {
        dropExpired(mFirstSends, nowMs);
        mFirstSends.addLong(nowMs);
    }

    /**
     * Takes one further send out of the budget.
     *
     * @param nowMs the present time in milliseconds
     * @param ratio further sends for each first one, from the settings
     * @param extra the fleet's fixed part in each window, from the settings
     * @param vms how many VMs share the fixed part
     * @return whether it may be sent
     */
    public boolean tryTake(long nowMs, double ratio, double extra, int vms) {
        dropExpired(mFirstSends, nowMs);
        dropExpired(mRetries, nowMs);
        double allowed = SAFETY_FACTOR * (ratio * mFirstSends.size() + extra / Math.max(1, vms));
        if (mRetries.size() + 1 > allowed) {
            return false;
        }
        mRetries.addLong(nowMs);
        return true;
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
