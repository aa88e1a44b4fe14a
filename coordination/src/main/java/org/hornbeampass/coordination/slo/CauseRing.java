package org.hornbeampass.coordination.slo;

import org.agrona.collections.Object2ObjectHashMap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A ring buffer of the causes of bad requests in the most recent time buckets.
 *
 * <p>Invariant: a bucket has at most {@value #MAX_CAUSES} causes, and for each objective one more
 * that stands for all others. Not thread-safe: guarded by the lock of {@link BurnWindows}.
 */
final class CauseRing {
    private static final int MAX_CAUSES = 64;

    private final long mWidthMs;
    private final List<Bucket> mBuckets = new ArrayList<>();

    /** The number of bad requests by cause in one time bucket. */
    private static final class Bucket {
        private long mIndex = Long.MIN_VALUE;
        private final Object2ObjectHashMap<BurnCause, Long> mCounts = new Object2ObjectHashMap<>();
    }

    CauseRing(long widthMs, int buckets) {
        mWidthMs = widthMs;
        for (int i = 0; i < buckets; i++) {
            mBuckets.add(new Bucket());
        }
    }

    void add(long nowMs, BurnCause cause) {
        long index = Math.floorDiv(nowMs, mWidthMs);
        Bucket bucket = bucket(index);
        if (bucket.mIndex > index) {
            return;
        }
        if (bucket.mIndex < index) {
            bucket.mCounts.clear();
            bucket.mIndex = index;
        }
        boolean hasRoom = bucket.mCounts.size() < MAX_CAUSES || bucket.mCounts.containsKey(cause);
        BurnCause counted = hasRoom ? cause : BurnCause.other(cause.objective());
        bucket.mCounts.merge(counted, 1L, Long::sum);
    }

    /** Returns the number of bad requests by cause in a window that ends now. */
    Map<BurnCause, Long> sum(long nowMs, long windowMs) {
        Map<BurnCause, Long> sums = new HashMap<>();
        long newest = Math.floorDiv(nowMs, mWidthMs);
        for (long index = newest - windowMs / mWidthMs + 1; index <= newest; index++) {
            Bucket bucket = bucket(index);
            if (bucket.mIndex == index) {
                bucket.mCounts.forEach((cause, count) -> sums.merge(cause, count, Long::sum));
            }
        }
        return sums;
    }

    private Bucket bucket(long index) {
        return mBuckets.get((int) Math.floorMod(index, (long) mBuckets.size()));
    }
}
