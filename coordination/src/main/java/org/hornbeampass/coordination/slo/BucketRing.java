package org.hornbeampass.coordination.slo;

import java.util.Arrays;

/**
 * Good and bad counts of all objectives in the newest buckets of time.
 *
 * <p>Invariants: buckets are aligned to multiples of their width, so that the rings of several
 * routers can be added; a bucket is emptied before it is used for a later time; what is older than
 * the ring is dropped. Memory is fixed. Not thread-safe: guarded by the lock of {@link
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

    /** Returns the counts of the buckets that make up a window, the present one included. */
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

    /** Returns the counts of one bucket, by its start over its width. */
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
