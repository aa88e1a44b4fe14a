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
    private long mGranted;
    private long mReportedSpent;
    private long mLargest;
    private double mDemandPerMs;
    private long mDemandAtMs;
    private boolean mShort;
    private Situation mSituation = Situation.UNKNOWN;

    /**
     * What the store showed last of the whole organisation.
     *
     * @param unallocated tokens that nobody holds
     * @param certain tokens that are not reported spent by anyone
     */
    record Situation(long unallocated, long certain) {
        static final Situation UNKNOWN = new Situation(0, Long.MAX_VALUE);
    }

    long free() {
        return mLimit - mSpent - mReserved;
    }

    long limit() {
        return mLimit;
    }

    long spent() {
        return mSpent;
    }

    /** Returns what can't be given back: tokens spent and those that requests in progress hold. */
    long used() {
        return mSpent + mReserved;
    }

    /** Returns what the store was last seen to hold for this incarnation. */
    long granted() {
        return mGranted;
    }

    long reportedSpent() {
        return mReportedSpent;
    }

    long largest() {
        return mLargest;
    }

    boolean isShort() {
        return mShort;
    }

    Situation situation() {
        return mSituation;
    }

    boolean reserve(long nowMs, long tokens) {
        mLargest = Math.max(mLargest, tokens);
        if (tokens > free()) {
            mShort = true;
            return false;
        }
        mReserved += tokens;
        demand(nowMs, tokens);
        return true;
    }

    void settle(long reserved, long used) {
        mReserved -= reserved;
        mSpent += Math.min(reserved, used);
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
        mShort = false;
    }

    /** Returns the tokens asked for in a millisecond, as observed of late. */
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
