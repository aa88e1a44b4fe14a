package org.hornbeampass.coordination.budget;

/**
 * Estimates the rate at which tokens are asked for, by exponential decay.
 *
 * <p>Not thread-safe; guarded by its organisation's lock.
 */
final class DemandRate {
    private static final double TIME_CONSTANT_MS = 60_000;
    private static final double NEGLIGIBLE_TOKENS = 0.5;

    private double mWeight;
    private long mUpdatedMs;
    private long mLargest;
    private boolean mStarted;

    /** Notes tokens asked for. */
    void add(long nowMs, long tokens) {
        decay(nowMs);
        mWeight += tokens;
        mLargest = Math.max(mLargest, tokens);
    }

    /** Notes tokens that peers spent from what was lent to them. */
    void addFlow(long nowMs, long tokens) {
        decay(nowMs);
        mWeight += tokens;
    }

    /** Returns the present rate in tokens per millisecond. */
    double perMs(long nowMs) {
        decay(nowMs);
        if (mWeight < NEGLIGIBLE_TOKENS) {
            mLargest = 0;
            return 0;
        }
        return mWeight / TIME_CONSTANT_MS;
    }

    /** Returns the largest single demand since there last was none. */
    long largest() {
        return mLargest;
    }

    private void decay(long nowMs) {
        if (!mStarted) {
            mStarted = true;
            mUpdatedMs = nowMs;
            return;
        }
        long passed = Math.max(0, nowMs - mUpdatedMs);
        if (passed > 0) {
            mWeight *= Math.exp(-(double) passed / TIME_CONSTANT_MS);
            mUpdatedMs = nowMs;
        }
    }
}
