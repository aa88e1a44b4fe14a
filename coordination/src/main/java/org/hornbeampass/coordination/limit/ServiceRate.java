package org.hornbeampass.coordination.limit;

import java.util.OptionalLong;

/**
 * Estimates from recent completions how long it takes to serve a number of requests.
 *
 * <p>Not thread-safe: guarded by the queue that owns it.
 */
public final class ServiceRate {
    private static final int SAMPLES = 64;
    private static final int MIN_SAMPLES = 16;

    private final long[] mCompletedMs = new long[SAMPLES];
    private int mCount;

    /** Records a completion. */
    public void onCompleted(long nowMs) {
        mCompletedMs[mCount % SAMPLES] = nowMs;
        mCount++;
    }

    /** Returns the estimated time in milliseconds; empty if there are too few completions. */
    public OptionalLong estimateWaitMs(long nowMs, int requests) {
        int known = Math.min(mCount, SAMPLES);
        if (known < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long oldest = mCompletedMs[mCount > SAMPLES ? mCount % SAMPLES : 0];
        double perRequestMs = (double) Math.max(1, nowMs - oldest) / known;
        return OptionalLong.of((long) Math.ceil(perRequestMs * requests));
    }
}
