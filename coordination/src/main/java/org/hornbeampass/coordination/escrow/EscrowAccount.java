package org.hornbeampass.coordination.escrow;

import java.util.OptionalLong;

/**
 * What one incarnation of a VM may spend of one organisation's budget.
 *
 * <p>Invariant: what is spent and reserved never exceeds the limit, and the limit never exceeds
 * what the store is known to hold for this incarnation. Confined to one thread.
 */
final class EscrowAccount {
    /** How fast the observed demand follows, in milliseconds. */
    private static final double DEMAND_DECAY_MS = 5_000;

    /**
     * For how long, in milliseconds, there is taken to have been demand before the first request:
     * an average over {@link #DEMAND_DECAY_MS} is too low while it is younger than that, and a
     * first request alone says little.
     */
    private static final long ASSUMED_DEMAND_MS = 2_000;

    private long mLimit;
    private long mSpent;
    private long mReserved;
    private long mLent;
    private long mBorrowed;
    private long mGranted;
    private long mReportedSpent;
    private long mMaxWrittenSpent;
    private double mDemandPerMs;
    private long mDemandAtMs;
    private long mFirstDemandMs = Long.MAX_VALUE;
    private long mWanted;
    private long mSmallestWanted = Long.MAX_VALUE;
    private long mRecheckUntilMs = Long.MIN_VALUE;

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

    /** Returns whether the store holds more for this VM than it uses, or an older report. */
    boolean hasUnsettledWithStore() {
        return mGranted > Math.max(0, used()) || mSpent > mReportedSpent;
    }

    /** Takes tokens out for another VM, for ever. */
    void lend(long tokens) {
        mLent += tokens;
    }

    /** Takes tokens out for requests at another VM, which are demand here as well. */
    void lendToRequests(long nowMs, long tokens) {
        mLent += tokens;
        addDemand(nowMs, tokens);
    }

    /** Takes in tokens that another VM has taken out. */
    void borrow(long tokens) {
        mBorrowed += tokens;
        clearWanted();
    }

    /**
     * Takes in what another VM hands over: tokens that its requests did not use, and spent ones
     * that are to be reported from here. The latter were lent by some VM, so that what this one
     * uses does not change.
     */
    void acceptTransfer(long nowMs, long tokens, long spent) {
        borrow(tokens);
        addDemand(nowMs, -tokens);
        mSpent += spent;
        mLent -= spent;
    }

    /** Takes out the spent tokens that no write of this VM has ever told the store of. */
    long takeUnreportedSpent() {
        long spent = neverWrittenSpent();
        mSpent -= spent;
        mLent += spent;
        return spent;
    }

    long neverWrittenSpent() {
        return Math.max(0, mSpent - mMaxWrittenSpent);
    }

    /** Notes that a write is sent which reports all that is spent; it may never be answered. */
    void onWriteSent() {
        mMaxWrittenSpent = Math.max(mMaxWrittenSpent, mSpent);
    }

    /** Returns what the store was last seen to hold for this incarnation. */
    long granted() {
        return mGranted;
    }

    long reportedSpent() {
        return mReportedSpent;
    }

    /** Returns the tokens of all requests that were not admitted since the last exchange. */
    long wanted() {
        return mWanted;
    }

    /** Returns the tokens of the smallest request that was not admitted since then. */
    OptionalLong smallestWanted() {
        return mWanted > 0 ? OptionalLong.of(mSmallestWanted) : OptionalLong.empty();
    }

    boolean reserve(long tokens) {
        if (tokens > free()) {
            return false;
        }
        mReserved += tokens;
        return true;
    }

    /** Notes a request that was not admitted; the store is looked at for it until a time. */
    void addWanted(long tokens, long recheckUntilMs) {
        mWanted += tokens;
        mSmallestWanted = Math.min(mSmallestWanted, tokens);
        mRecheckUntilMs = Math.max(mRecheckUntilMs, recheckUntilMs);
    }

    /** Returns whether requests were refused of late without a proof that the budget is used up. */
    boolean isRecheckDue(long nowMs) {
        return nowMs < mRecheckUntilMs;
    }

    void settle(long nowMs, long reserved, long used) {
        long spent = Math.min(reserved, used);
        mReserved -= reserved;
        mSpent += spent;
        addDemand(nowMs, spent);
    }

    /** Forgets what requests waited for: an exchange is over, and they ask again. */
    void clearWanted() {
        mWanted = 0;
        mSmallestWanted = Long.MAX_VALUE;
    }

    void setLimit(long limit) {
        mLimit = limit;
    }

    /** Takes in what the store holds for this incarnation, and what of it may be spent. */
    void onStoredGrant(long granted, long limit, long reportedSpent) {
        mGranted = granted;
        mLimit = limit;
        mReportedSpent = reportedSpent;
    }

    /** Returns the tokens used in a millisecond, as observed of late. */
    double demandPerMs(long nowMs) {
        decayDemand(nowMs);
        if (mFirstDemandMs > nowMs) {
            return 0;
        }
        long observedMs = nowMs - mFirstDemandMs + ASSUMED_DEMAND_MS;
        return Math.max(0, mDemandPerMs) / (1 - Math.exp(-observedMs / DEMAND_DECAY_MS));
    }

    private void addDemand(long nowMs, long tokens) {
        decayDemand(nowMs);
        mFirstDemandMs = Math.min(mFirstDemandMs, nowMs);
        mDemandPerMs += tokens / DEMAND_DECAY_MS;
    }

    private void decayDemand(long nowMs) {
        if (nowMs > mDemandAtMs) {
            mDemandPerMs *= Math.exp(-(nowMs - mDemandAtMs) / DEMAND_DECAY_MS);
            mDemandAtMs = nowMs;
        }
    }
}
