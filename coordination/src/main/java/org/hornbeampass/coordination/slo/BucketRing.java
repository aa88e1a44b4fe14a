package org.hornbeampass.coordination.slo;

import java.util.Arrays;

/**
 * A ring buffer of the good and bad counts of all objectives in the most recent time buckets.
 *
 * <p>Invariants: buckets are aligned to multiples of their width, so that the counts of several
 * routers can be added; a bucket is cleared before it is reused for a later time; samples older
 * than the ring are dropped. Memory use is fixed. Not thread-safe: guarded by the lock of {@link
 * BurnWindows}.
 */
final class BucketRing {
    private static final int OBJECTIVES = Objective.values().length;
    private static final long UNUSED = Long.MIN_VALUE;

    private final long mWidthMs;
    private final long[] mIndexes;
    private final int[] mGood;
    private final int[] mBad;

    BucketRing(long widthMs, int buckets) {
        mWidthMs = widthMs;
        mIndexes = new long[buckets];
        mGood = new int[buckets * OBJECTIVES];
        mBad = new int[buckets * OBJECTIVES];
        Arrays.fill(mIndexes, UNUSED);
    }

    long widthMs() {
        return mWidthMs;
    }

    void add(long nowMs, Objective objective, boolean good) {
        long index = Math.floorDiv(nowMs, mWidthMs);
        int slot = slot(index);
        if (mIndexes[slot] > index) {
            return;
        }
        if (mIndexes[slot] < index) {
            clear(slot);
            mIndexes[slot] = index;
        }
        int[] counts = good ? mGood : mBad;
        counts[slot * OBJECTIVES + objective.countIndex()]++;
    }

    /** Returns the sum of the buckets of a window that ends with the present bucket. */
    Counts sum(long nowMs, long windowMs, Objective objective) {
        long newest = Math.floorDiv(nowMs, mWidthMs);
        long good = 0;
        long bad = 0;
        for (long index = newest - windowMs / mWidthMs + 1; index <= newest; index++) {
            Counts counts = at(index, objective);
            good += counts.good();
            bad += counts.bad();
        }
        return new Counts(good, bad);
    }

    /** Returns the counts of one bucket; its index is its start time divided by its width. */
    Counts at(long index, Objective objective) {
        int slot = slot(index);
        int cell = slot * OBJECTIVES + objective.countIndex();
        return mIndexes[slot] == index ? new Counts(mGood[cell], mBad[cell]) : Counts.NONE;
    }

    private int slot(long index) {
        return (int) Math.floorMod(index, (long) mIndexes.length);
    }

    private void clear(int slot) {
        Arrays.fill(mGood, slot * OBJECTIVES, (slot + 1) * OBJECTIVES, 0);
        Arrays.fill(mBad, slot * OBJECTIVES, (slot + 1) * OBJECTIVES, 0);
    }
}
