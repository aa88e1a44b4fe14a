package org.hornbeampass.coordination.limit;

/**
 * A token bucket: allows a rate with a burst.
 *
 * <p>Invariant: between 0 and the burst in tokens; a clock that goes back adds none. Not
 * thread-safe; its owner's lock or thread guards it.
 */
public final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000.0;

    private double mPerSecond;
    private double mBurst;
    private double mTokens;
    private long mFilledAtMs;

    private TokenBucket(double perSecond, double burst, double tokens, long nowMs) {
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = tokens;
        mFilledAtMs = nowMs;
    }

    /**
     * Makes a bucket that holds a whole burst.
     *
     * @param perSecond the rate, in tokens a second
     * @param burst the most that it holds; at least one token
     * @param nowMs the present time in milliseconds
     */
    public static TokenBucket full(double perSecond, double burst, long nowMs) {
        double most = Math.max(1.0, burst);
        return new TokenBucket(perSecond, most, most, nowMs);
    }

    /**
     * Makes a bucket that holds nothing until a time.
     *
     * @param perSecond the rate, in tokens a second
     * @param burst the most that it holds; at least one token
     * @param fromMs when it begins to fill, in milliseconds
     */
    public static TokenBucket empty(double perSecond, double burst, long fromMs) {
        return new TokenBucket(perSecond, Math.max(1.0, burst), 0, fromMs);
    }

    /** Changes rate and burst from now on; tokens beyond the new burst are lost. */
    public void setRate(long nowMs, double perSecond, double burst) {
        fill(nowMs);
        mPerSecond = perSecond;
        mBurst = Math.max(1.0, burst);
        mTokens = Math.min(mBurst, mTokens);
    }

    /** Takes one token, if there is one. */
    public boolean tryTake(long nowMs) {
        return tryTake(nowMs, 0);
    }

    /**
     * Takes one token, if that leaves at least the reserved share of the burst. A burst too small
     * to hold both is taken from when it is full.
     */
    public boolean tryTake(long nowMs, double reservedShare) {
        fill(nowMs);
        double needed = Math.min(mBurst, 1.0 + reservedShare * mBurst);
        if (mTokens < needed) {
            return false;
        }
        mTokens -= 1.0;
        return true;
    }

    /** Returns when there is a token if none is taken before, in milliseconds from now on. */
    public long untilNextMs(long nowMs) {
        fill(nowMs);
        double missing = Math.max(0, 1.0 - mTokens);
        long untilFillingMs = Math.max(0, mFilledAtMs - nowMs);
        return untilFillingMs + (long) Math.ceil(missing * MS_PER_SECOND / mPerSecond);
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
