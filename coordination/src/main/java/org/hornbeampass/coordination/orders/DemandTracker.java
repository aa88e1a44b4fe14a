package org.hornbeampass.coordination.orders;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.state.upstream.WorkTarget;

/**
 * Computes how many copies of a model or adapter are wanted from the measured demand.
 *
 * <p>Demand is smoothed over time. A copy is added only after demand has exceeded the capacity of
 * the present copies for {@value #GROW_AFTER_MS} ms, and removed only after one copy fewer would
 * have sufficed for {@value #SHRINK_AFTER_MS} ms. The gap between the upper and the lower threshold
 * prevents oscillation. Invariant: after the first observation, the number changes by one at a
 * time, and it is never below the minimum. Thread-safe.
 */
public final class DemandTracker {
    private static final long GROW_AFTER_MS = 30_000;
    private static final long SHRINK_AFTER_MS = 600_000;
    private static final double SMOOTHING_MS = 60_000;
    private static final double GROW_ABOVE = 0.8;
    private static final double SHRINK_BELOW = 0.5;
    private static final long NOT_YET = Long.MAX_VALUE;

    private final double mConcurrencyPerCopy;
    private final int mMinCopies;
    private final Object2ObjectHashMap<WorkTarget, Demand> mDemands = new Object2ObjectHashMap<>();

    /** The smoothed demand for one target and the copies wanted for it. */
    private static final class Demand {
        private double mSmoothed;
        private long mUpdatedAtMs;
        private int mCopies;
        private long mHighSinceMs = NOT_YET;
        private long mLowSinceMs = NOT_YET;
    }

    /**
     * Creates a tracker.
     *
     * @param concurrencyPerCopy the number of concurrent requests that one copy can serve
     * @param minCopies the smallest number of copies; values below 1 count as 1
     */
    public DemandTracker(double concurrencyPerCopy, int minCopies) {
        mConcurrencyPerCopy = concurrencyPerCopy;
        mMinCopies = Math.max(1, minCopies);
    }

    /**
     * Updates the demand for a target and returns how many copies are wanted.
     *
     * @param concurrency requests in progress and waiting for the target, summed over all VMs
     */
    public synchronized int observe(long nowMs, WorkTarget target, double concurrency) {
        Demand demand = mDemands.get(target);
        if (demand == null) {
            demand = new Demand();
            demand.mSmoothed = concurrency;
            demand.mUpdatedAtMs = nowMs;
            demand.mCopies =
                    Math.max(
                            mMinCopies,
                            (int) Math.ceil(concurrency / (GROW_ABOVE * mConcurrencyPerCopy)));
            mDemands.put(target, demand);
        }
        double elapsed = (double) Math.max(0, nowMs - demand.mUpdatedAtMs);
        double weight = 1 - Math.exp(-elapsed / SMOOTHING_MS);
        demand.mSmoothed += weight * (concurrency - demand.mSmoothed);
        demand.mUpdatedAtMs = nowMs;
        adjust(nowMs, demand);
        return demand.mCopies;
    }

    private void adjust(long nowMs, Demand demand) {
        boolean high = demand.mSmoothed > GROW_ABOVE * mConcurrencyPerCopy * demand.mCopies;
        boolean low =
                demand.mCopies > mMinCopies
                        && demand.mSmoothed
                                < SHRINK_BELOW * mConcurrencyPerCopy * (demand.mCopies - 1);
        demand.mHighSinceMs = high ? Math.min(demand.mHighSinceMs, nowMs) : NOT_YET;
        demand.mLowSinceMs = low ? Math.min(demand.mLowSinceMs, nowMs) : NOT_YET;
        if (high && nowMs - demand.mHighSinceMs >= GROW_AFTER_MS) {
            demand.mCopies++;
            demand.mHighSinceMs = nowMs;
        } else if (low && nowMs - demand.mLowSinceMs >= SHRINK_AFTER_MS) {
            demand.mCopies--;
            demand.mLowSinceMs = nowMs;
        }
    }
}
