package org.hornbeampass.coordination.budget;

/**
 * Estimates the rate at which tokens are requested, by exponential decay.
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

    /** Adds the tokens of one reservation request. */
    void addDemand(long nowMs, long tokens) {
        decay(nowMs);
        mDecayedTokens += tokens;
        mLargestDemand = Math.max(mLargestDemand, tokens);
    }

    /** Adds tokens that a peer spent out of tokens moved to it. */
    void addPeerSpending(long nowMs, long tokens) {
        decay(nowMs);
        mDecayedTokens += tokens;
    }

    /** Returns the current rate in tokens per millisecond. */
    double tokensPerMs(long nowMs) {
        decay(nowMs);
        if (mDecayedTokens < NEGLIGIBLE_TOKENS) {
            mLargestDemand = 0;
            return 0;
        }
        return mDecayedTokens / TIME_CONSTANT_MS;
    }

    /** Returns the largest single reservation request since the rate was last found to be 0. */
    long largestDemand() {
        return mLargestDemand;
    }

    private void decay(long nowMs) {
        if (!mStarted) {
            mStarted = true;
            mUpdatedMs = nowMs;
            return;
        }
        long elapsedMs = Math.max(0, nowMs - mUpdatedMs);
        if (elapsedMs > 0) {
            mDecayedTokens *= Math.exp(-(double) elapsedMs / TIME_CONSTANT_MS);
            mUpdatedMs = nowMs;
        }
    }
}
