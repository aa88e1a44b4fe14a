package org.hornbeampass.coordination.budget;

/**
 * Estimates the rate at which tokens are asked for, by exponential decay.
 *
 * <p>Not thread-safe; guarded by its organisation's lock.
 */
final class DemandRate {
    private static final double TIME_CONSTANT_MS = 60_000;
    private static final double NEGLIGIBLE_TOKENS = 0.5;

    private double mDecayedTokens;
    private long mUpdatedMs;
    private long mLargestDemand;
    private boolean mStarted;

    /** Notes tokens asked for. */
    void addDemand(long nowMs, long tokens) {
        decay(nowMs);
        mDecayedTokens += tokens;
        mLargestDemand = Math.max(mLargestDemand, tokens);
    }

    /** Notes tokens that peers spent from what was lent to them. */
    void addPeerSpending(long nowMs, long tokens) {
        decay(nowMs);
        mDecayedTokens += tokens;
    }

    /** Returns the present rate in tokens per millisecond. */
    double tokensPerMs(long nowMs) {
        decay(nowMs);
        if (mDecayedTokens < NEGLIGIBLE_TOKENS) {
            mLargestDemand = 0;
            return 0;
        }
        return mDecayedTokens / TIME_CONSTANT_MS;
    }

    /** Returns the largest single demand since there last was none. */
    long largestDemand() {
        return mLargestDemand;
    }

    private void decay(long nowMs) {
        if (!mStarted) {
            mStarted = true;
            mUpdatedMs = nowMs;
            return;
        }
        long passed = Math.max(0, nowMs - mUpdatedMs);
        if (passed > 0) {
            mDecayedTokens *= Math.exp(-(double) passed / TIME_CONSTANT_MS);
            mUpdatedMs = nowMs;
        }
    }
}
