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
    private Situation mSituation = Situation.UNKNOWN;

    /**
     * What the store showed last of the whole organisation.
     *
     * @param unallocated tokens that nobody holds
     * @param certain tokens that are not reported spent by anyone
     */
    record Situation(long unallocated, long certain) {
        static final Situation UNKNOWN = new Situation(Long.MAX_VALUE / 2, Long.MAX_VALUE);
    }

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

    /** Returns whether a request waits for tokens that the store may have. */
    boolean mayGetWanted() {
        return mWanted > 0 && mSituation.unallocated() + free() >= mWanted;
    }

    Situation situation() {
        return mSituation;
    }

    boolean reserve(long tokens) {
        if (tokens > free()) {
            mWanted = Math.max(mWanted, tokens);
            return false;
        }
        mReserved += tokens;
        return true;
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
    void onStored(long granted, long limit, long reportedSpent, Situation situation) {
        mGranted = granted;
        mLimit = limit;
        mReportedSpent = reportedSpent;
        mSituation = situation;
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
