package org.hornbeampass.coordination.limit;

/**
 * A token bucket that limits the rate of events and allows a burst.
 *
 * <p>Invariants: the number of tokens is between 0 and the burst; a clock that goes backwards adds
 * none. Not thread-safe: guarded by the owner's lock or confined to its thread.
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
     * Creates a bucket that holds a whole burst.
     *
     * @param perSecond the rate, in tokens a second
     * @param burst the largest number of tokens; less than one counts as one
     * @param nowMs the present time in milliseconds
     */
    public static TokenBucket full(double perSecond, double burst, long nowMs) {
        double max = Math.max(1.0, burst);
        return new TokenBucket(perSecond, max, max, nowMs);
    }

    /**
     * Creates an empty bucket that begins to fill at a given time.
     *
     * @param perSecond the rate, in tokens a second
     * @param burst the largest number of tokens; less than one counts as one
     * @param fromMs when the bucket begins to fill, in milliseconds
     */
    public static TokenBucket empty(double perSecond, double burst, long fromMs) {
        return new TokenBucket(perSecond, Math.max(1.0, burst), 0, fromMs);
    }

    /** Changes the rate and the burst from now on; tokens beyond the new burst are discarded. */
    public void setRate(long nowMs, double perSecond, double burst) {
        fill(nowMs);
        mPerSecond = perSecond;
        mBurst = Math.max(1.0, burst);
        mTokens = Math.min(mBurst, mTokens);
    }

    /** Takes one token if there is one; returns whether there was. */
    public boolean tryTake(long nowMs) {
        return tryTake(nowMs, 0);
    }

    /**
     * Takes one token if at least the reserved share of the burst remains afterwards; returns
     * whether it was taken. If the burst is too small for that, a token is taken when the bucket is
     * full.
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

    /** Returns the time until a token is available if none is taken before, in milliseconds. */
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
