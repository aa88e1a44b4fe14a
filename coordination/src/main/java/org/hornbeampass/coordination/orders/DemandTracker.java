package org.hornbeampass.coordination.orders;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.state.upstream.WorkTarget;

/**
 * Turns demand into a number of wanted copies, slowly.
 *
 * <p>A copy is added only after demand has been above what the copies carry for {@value
 * #GROW_AFTER_MS} ms, and taken away only after one fewer would have carried it for {@value
 * #SHRINK_AFTER_MS} ms; the gap between the two bounds keeps the number from going back and forth.
 * Invariant: the number is never below the floor and changes by one at a time. Thread-safe.
 */
public final class DemandTracker {
    private static final long GROW_AFTER_MS = 30_000;
    private static final long SHRINK_AFTER_MS = 600_000;
    private static final double SMOOTHING_MS = 60_000;
    private static final double GROW_ABOVE = 0.8;
    private static final double SHRINK_BELOW = 0.5;
    private static final long NOT_YET = Long.MAX_VALUE;

    private final double mPerCopy;
    private final int mFloor;
    private final Object2ObjectHashMap<WorkTarget, Demand> mDemands = new Object2ObjectHashMap<>();

    /** The demand for one target. */
    private static final class Demand {
        private double mSmoothed;
        private long mSeenAtMs;
        private int mCopies;
        private long mHighSinceMs = NOT_YET;
        private long mLowSinceMs = NOT_YET;
    }

    /**
     * Creates a tracker.
     *
     * @param perCopy requests in progress that one copy carries well
     * @param floor the least number of copies
     */
    public DemandTracker(double perCopy, int floor) {
        mPerCopy = perCopy;
        mFloor = Math.max(1, floor);
    }

    /**
     * Takes the requests in progress and waiting for a target, over all VMs, and returns how many
     * copies are wanted.
     */
    public synchronized int observe(long nowMs, WorkTarget target, double concurrency) {
        Demand demand = mDemands.get(target);
        if (demand == null) {
            demand = new Demand();
            demand.mSmoothed = concurrency;
            demand.mSeenAtMs = nowMs;
            demand.mCopies =
                    Math.max(mFloor, (int) Math.ceil(concurrency / (GROW_ABOVE * mPerCopy)));
            mDemands.put(target, demand);
        }
        double elapsed = (double) Math.max(0, nowMs - demand.mSeenAtMs);
        double share = 1 - Math.exp(-elapsed / SMOOTHING_MS);
        demand.mSmoothed += share * (concurrency - demand.mSmoothed);
        demand.mSeenAtMs = nowMs;
        adjust(nowMs, demand);
        return demand.mCopies;
    }

    private void adjust(long nowMs, Demand demand) {
        boolean high = demand.mSmoothed > GROW_ABOVE * mPerCopy * demand.mCopies;
        boolean low =
                demand.mCopies > mFloor
                        && demand.mSmoothed < SHRINK_BELOW * mPerCopy * (demand.mCopies - 1);
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
