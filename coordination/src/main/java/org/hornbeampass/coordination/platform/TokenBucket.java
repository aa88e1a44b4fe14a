package org.hornbeampass.coordination.platform;

/**
 * A token bucket: allows a rate with a burst.
 *
 * <p>Invariant: between 0 and {@code burst} tokens; a clock that goes back adds none. Not
 * thread-safe; its owner's lock guards it.
 */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000.0;

    private final double mPerSecond;
    private final double mBurst;
    private double mTokens;
    private long mFilledAtMs;

    TokenBucket(double perSecond, double burst, long nowMs) {
        mPerSecond = perSecond;
        mBurst = Math.max(1.0, burst);
        mTokens = mBurst;
        mFilledAtMs = nowMs;
    }

    /**
     * Takes one token, if that leaves at least the reserved share of the burst. A burst too small
     * to hold both is taken from when it is full.
     */
    boolean tryTake(long nowMs, double reservedShare) {
        fill(nowMs);
        double needed = Math.min(mBurst, 1.0 + reservedShare * mBurst);
        if (mTokens < needed) {
            return false;
        }
        mTokens -= 1.0;
        return true;
    }

    private void fill(long nowMs) {
        if (nowMs <= mFilledAtMs) {
            return;
        }
        double gained = (nowMs - mFilledAtMs) * mPerSecond / MS_PER_SECOND;
        mTokens = Math.min(mBurst, mTokens + gained);
        mFilledAtMs = nowMs;
    }
}
