package org.hornbeampass.coordination.limit;

/**
 * Limits how many requests one VM may have in flight at one upstream.
 *
 * <p>The limit follows the latency gradient: it grows while recent times to first token stay near
 * the long-term ones, and shrinks in proportion when they rise. Invariants: the limit is at least
 * {@value #MIN_LIMIT} and never above the configured maximum; it only grows while it is in use. Not
 * thread-safe: guarded by the owner's lock.
 */
public final class ConcurrencyLimit {
    private static final int MIN_LIMIT = 1;
    private static final double FAST_SMOOTHING = 0.2;
    private static final double SLOW_SMOOTHING = 0.005;
    private static final double LATENCY_TOLERANCE = 2.0;
    private static final double MIN_GRADIENT = 0.5;
    private static final double LIMIT_SMOOTHING = 0.2;
    private static final double REFUSAL_FACTOR = 0.9;

    private final boolean mAdaptive;
    private int mMax;
    private double mLimit;
    private double mFastMs;
    private double mSlowMs;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param max the configured maximum
     * @param adaptive whether it follows the latency gradient
     */
    public ConcurrencyLimit(int max, boolean adaptive) {
        mMax = Math.max(MIN_LIMIT, max);
        mLimit = mMax;
        mAdaptive = adaptive;
    }

    /** Returns the present limit. */
    public int limit() {
        return (int) mLimit;
    }

    /** Changes the maximum; a limit that was at the old maximum becomes the new one. */
    public void setMax(int max) {
        int newMax = Math.max(MIN_LIMIT, max);
        mLimit = mLimit >= mMax ? newMax : Math.min(mLimit, newMax);
        mMax = newMax;
    }

    /**
     * Updates the limit with the latency of a first token.
     *
     * @param firstTokenMs the time to first token in milliseconds
     * @param inFlight the number of requests in flight when the request was sent
     */
    public void onFirstToken(double firstTokenMs, int inFlight) {
        if (!mAdaptive) {
            return;
        }
        double sample = Math.max(1, firstTokenMs);
        mFastMs = mFastMs == 0 ? sample : mFastMs + FAST_SMOOTHING * (sample - mFastMs);
        mSlowMs =
                mSlowMs == 0
                        ? sample
                        : Math.min(mFastMs, mSlowMs + SLOW_SMOOTHING * (sample - mSlowMs));
        double gradient =
                Math.max(MIN_GRADIENT, Math.min(1, LATENCY_TOLERANCE * mSlowMs / mFastMs));
        double target = mLimit * gradient + Math.sqrt(mLimit);
        if (target > mLimit && inFlight * 2 < mLimit) {
            return;
        }
        setLimit(mLimit + LIMIT_SMOOTHING * (target - mLimit));
    }

    /** Lowers the limit after the upstream refused a request because of overload. */
    public void onOverloadRefusal() {
        if (mAdaptive) {
            setLimit(mLimit * REFUSAL_FACTOR);
        }
    }

    private void setLimit(double limit) {
        mLimit = Math.max(MIN_LIMIT, Math.min(mMax, limit));
    }
}
