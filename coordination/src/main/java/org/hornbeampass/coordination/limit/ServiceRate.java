package org.hornbeampass.coordination.limit;

import java.util.OptionalLong;

/**
 * Estimates how long a number of requests take to be served, from recent completions.
 *
 * <p>Not thread-safe: guarded by the queue's lock.
 */
final class ServiceRate {
    private static final int SAMPLES = 64;
    private static final int MIN_SAMPLES = 16;

    private final long[] mCompletedMs = new long[SAMPLES];
    private int mCount;

    void onCompleted(long nowMs) {
        mCompletedMs[mCount % SAMPLES] = nowMs;
        mCount++;
    }

    /** Returns the time in milliseconds; empty where too few completions are known. */
    OptionalLong estimateWaitMs(long nowMs, int requests) {
        int known = Math.min(mCount, SAMPLES);
        if (known < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long oldest = mCompletedMs[mCount > SAMPLES ? mCount % SAMPLES : 0];
        double eachMs = (double) Math.max(1, nowMs - oldest) / known;
        return OptionalLong.of((long) Math.ceil(eachMs * requests));
    }
}
