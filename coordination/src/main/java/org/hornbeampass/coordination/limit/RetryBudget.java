package org.hornbeampass.coordination.limit;

/**
 * Limits further attempts to a share of the first attempts, so that retries can't amplify an
 * overload.
 *
 * <p>Each first attempt adds a fraction of an attempt to the balance; each retry, resume or hedge
 * takes a whole one. Invariants: further attempts never exceed the share of first attempts plus the
 * initial balance, and the balance never exceeds a bound. There is one budget for each VM.
 * Thread-safe.
 */
public final class RetryBudget {
    private static final int UNITS_PER_ATTEMPT = 100;
    private static final int DEFAULT_PERCENT = 10;
    private static final int DEFAULT_INITIAL = 5;
    private static final int DEFAULT_MAX = 50;

    private final int mPercent;
    private final int mMaxBalance;
    private int mBalance;
    private long mFirstAttempts;
    private long mFurtherAttempts;
    private long mRefused;

    /**
     * Creates a budget.
     *
     * @param percent the number of further attempts allowed per hundred first attempts
     * @param initial the initial balance, in attempts
     * @param max the largest balance, in attempts
     */
    public RetryBudget(int percent, int initial, int max) {
        mPercent = percent;
        mMaxBalance = max * UNITS_PER_ATTEMPT;
        mBalance = initial * UNITS_PER_ATTEMPT;
    }

    /** Returns a budget of one further attempt per ten first attempts. */
    public static RetryBudget defaults() {
        return new RetryBudget(DEFAULT_PERCENT, DEFAULT_INITIAL, DEFAULT_MAX);
    }

    /** Counts a first attempt. */
    public synchronized void onFirstAttempt() {
        mFirstAttempts++;
        mBalance = Math.max(mBalance, Math.min(mMaxBalance, mBalance + mPercent));
    }

    /** Takes one further attempt out of the budget; returns whether the balance allowed it. */
    public synchronized boolean tryTake() {
        if (mBalance < UNITS_PER_ATTEMPT) {
            mRefused++;
            return false;
        }
        mBalance -= UNITS_PER_ATTEMPT;
        mFurtherAttempts++;
        return true;
    }

    /** Returns whether the balance is more than half of its bound. */
    public synchronized boolean isMoreThanHalfFull() {
        return mBalance * 2 > mMaxBalance;
    }

    /** Returns the number of first attempts. */
    public synchronized long firstAttempts() {
        return mFirstAttempts;
    }

    /** Returns the number of further attempts taken out of the budget. */
    public synchronized long furtherAttempts() {
        return mFurtherAttempts;
    }

    /** Returns the number of further attempts refused. */
    public synchronized long refused() {
        return mRefused;
    }
}
