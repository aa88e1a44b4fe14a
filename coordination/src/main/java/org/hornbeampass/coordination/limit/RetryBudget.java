package org.hornbeampass.coordination.limit;

/**
 * Bounds further attempts to a share of first attempts, so that retries can't multiply a failure.
 *
 * <p>Each first attempt earns a share of a further one; retries, resumes and hedges each use up a
 * whole one. Invariant: further attempts never exceed the share of first attempts plus the starting
 * balance, and what is saved up never exceeds a bound. One budget for each VM. Thread-safe.
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
     * @param percent further attempts per hundred first ones
     * @param start how many may be made before any is earned
     * @param most how many may be saved up
     */
    public RetryBudget(int percent, int start, int most) {
        mPercent = percent;
        mMaxBalance = most * UNITS_PER_ATTEMPT;
        mBalance = start * UNITS_PER_ATTEMPT;
    }

    /** Returns a budget of one further attempt for ten first ones. */
    public static RetryBudget defaults() {
        return new RetryBudget(DEFAULT_PERCENT, DEFAULT_INITIAL, DEFAULT_MAX);
    }

    /** Counts a first attempt. */
    public synchronized void onFirstAttempt() {
        mFirstAttempts++;
        mBalance = Math.max(mBalance, Math.min(mMaxBalance, mBalance + mPercent));
    }

    /** Takes one further attempt out of the budget; returns whether it was there. */
    public synchronized boolean tryTake() {
        if (mBalance < UNITS_PER_ATTEMPT) {
            mRefused++;
            return false;
        }
        mBalance -= UNITS_PER_ATTEMPT;
        mFurtherAttempts++;
        return true;
    }

    /** Returns whether more than half of what may be saved up is there. */
    public synchronized boolean isMoreThanHalfFull() {
        return mBalance * 2 > mMaxBalance;
    }

    /** Returns how many first attempts were counted. */
    public synchronized long firstAttempts() {
        return mFirstAttempts;
    }

    /** Returns how many further attempts were taken. */
    public synchronized long furtherAttempts() {
        return mFurtherAttempts;
    }

    /** Returns how many further attempts were refused. */
    public synchronized long refused() {
        return mRefused;
    }
}
