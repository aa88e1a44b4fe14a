package org.hornbeampass.coordination.escrow;

/**
 * What one incarnation of a VM may spend of one organisation's budget.
 *
 * <p>Invariant: what is spent and reserved never exceeds the limit, and the limit never exceeds
 * what the store is known to hold for this incarnation. Confined to one thread.
 */
final class EscrowAccount {
    /** How fast the observed demand follows, in milliseconds. */
    private static final double DEMAND_MS = 5_000;

    private long mLimit;
    private long mSpent;
    private long mReserved;
    private long mLent;
    private long mBorrowed;
    private long mGranted;
    private long mReportedSpent;
    private double mDemandPerMs;
    private long mDemandAtMs;
    private long mWanted;
    private long mLookUntilMs = Long.MIN_VALUE;

    long free() {
        return mLimit - used();
    }

    long limit() {
        return mLimit;
    }

    long spent() {
        return mSpent;
    }

    /**
     * Returns what this VM's own grant must cover: tokens spent, held by requests in progress and
     * lent, less those borrowed; negative where more was borrowed than used.
     */
    long used() {
        return mSpent + mReserved + mLent - mBorrowed;
    }

    /** Takes tokens out for another VM, for ever. */
    void lend(long tokens) {
        mLent += tokens;
    }

    /** Takes in tokens that another VM has taken out. */
    void borrow(long tokens) {
        mBorrowed += tokens;
        mWanted = 0;
    }

    /** Returns what the store was last seen to hold for this incarnation. */
    long granted() {
        return mGranted;
    }

    long reportedSpent() {
        return mReportedSpent;
    }

    /** Returns the tokens of the largest request that was not admitted since the last exchange. */
    long wanted() {
        return mWanted;
    }

    boolean reserve(long tokens) {
        if (tokens > free()) {
            return false;
        }
        mReserved += tokens;
        return true;
    }

    /** Notes a request that was not admitted; the store is looked at for it until a time. */
    void want(long tokens, long lookUntilMs) {
        mWanted = Math.max(mWanted, tokens);
        mLookUntilMs = Math.max(mLookUntilMs, lookUntilMs);
    }

    /** Returns whether requests were refused of late without a proof that the budget is used up. */
    boolean looks(long nowMs) {
        return nowMs < mLookUntilMs;
    }

    void settle(long nowMs, long reserved, long used) {
        long spent = Math.min(reserved, used);
        mReserved -= reserved;
        mSpent += spent;
        demand(nowMs, spent);
    }

    void setLimit(long limit) {
        mLimit = limit;
    }

    /** Takes in what the store holds for this incarnation, and what of it may be spent. */
    void onStored(long granted, long limit, long reportedSpent) {
        mGranted = granted;
        mLimit = limit;
        mReportedSpent = reportedSpent;
        mWanted = 0;
    }

    /** Returns the tokens used in a millisecond, as observed of late. */
    double demandPerMs(long nowMs) {
        fade(nowMs);
        return mDemandPerMs;
    }

    private void demand(long nowMs, long tokens) {
        fade(nowMs);
        mDemandPerMs += tokens / DEMAND_MS;
    }

    private void fade(long nowMs) {
        if (nowMs > mDemandAtMs) {
            mDemandPerMs *= Math.exp(-(nowMs - mDemandAtMs) / DEMAND_MS);
            mDemandAtMs = nowMs;
        }
    }
}
