package org.hornbeampass.coordination.slo;

import java.util.ArrayList;
import java.util.List;

/**
 * The time buckets of one scope: a single organisation, or the total of all.
 *
 * <p>Not thread-safe: guarded by the lock of {@link BurnWindows}.
 */
final class ScopeBuckets {
    private static final long FINE_MS = 60_000;
    private static final int FINE_BUCKETS = 61;
    private static final long COARSE_MS = 30 * 60_000L;
    private static final int COARSE_BUCKETS = 145;

    private final BucketRing mFine = new BucketRing(FINE_MS, FINE_BUCKETS);
    private final BucketRing mCoarse = new BucketRing(COARSE_MS, COARSE_BUCKETS);
    private long mLastMs;

    /** Counts a request; {@code good} is whether it met the objective. */
    void add(long nowMs, Objective objective, boolean good) {
        mLastMs = Math.max(mLastMs, nowMs);
        mFine.add(nowMs, objective, good);
        mCoarse.add(nowMs, objective, good);
    }

    long lastMs() {
        return mLastMs;
    }

    Counts sum(long nowMs, BurnWindow window, Objective objective) {
        return (window.usesMinuteBuckets() ? mFine : mCoarse)
                .sum(nowMs, window.lengthMs(), objective);
    }

    /** Returns the non-empty minute buckets of the last hour and half-hour ones of three days. */
    List<BurnPoint> points(long nowMs) {
        List<BurnPoint> points = new ArrayList<>();
        add(points, mFine, nowMs, BurnWindow.H1);
        add(points, mCoarse, nowMs, BurnWindow.D3);
        return points;
    }

    private static void add(
            List<BurnPoint> points, BucketRing ring, long nowMs, BurnWindow window) {
        long newest = Math.floorDiv(nowMs, ring.widthMs());
        long first = newest - window.lengthMs() / ring.widthMs() + 1;
        for (long index = first; index <= newest; index++) {
            for (Objective objective : Objective.values()) {
                Counts counts = ring.at(index, objective);
                if (counts.total() > 0) {
                    points.add(
                            new BurnPoint(
                                    index * ring.widthMs(), ring.widthMs(), objective, counts));
                }
            }
        }
    }
}
