package org.hornbeampass.coordination.escrow;

import java.util.OptionalLong;

/**
 * The tokens that one incarnation of a VM may spend of one organisation's budget.
 *
 * <p>Invariant: the tokens spent and reserved never exceed the limit, and the limit never exceeds
 * the grant that the store is known to hold for this incarnation. No amount is negative, since it
 * would raise what is free. Not thread-safe; must be used on one thread.
 */
final class EscrowAccount {
    /** The time constant of the moving average of demand, in milliseconds. */
    private static final double DEMAND_DECAY_MS = 5_000;

    /**
     * The time before the first request for which demand is assumed, in milliseconds. A moving
     * average over {@link #DEMAND_DECAY_MS} is too low while it is younger than that, and the first
     * request alone is a poor estimate.
     */
    private static final long ASSUMED_DEMAND_MS = 2_000;

    private long mLimit;
    private long mSpent;
    private long mReserved;
    private long mLent;
    private long mBorrowed;
    private long mGranted;
    private long mLargestSentGrant;
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
     * Returns the tokens that this VM's own grant must cover: those spent, reserved by requests in
     * progress and lent, less those borrowed. Negative if more tokens were borrowed than used.
     */
    long used() {
        return mSpent + mReserved + mLent - mBorrowed;
    }

    /**
     * Returns whether the store holds a larger grant than this VM uses, or an outdated spending
     * report.
     */
    boolean hasUnsettledWithStore() {
        return mGranted > Math.max(0, used()) || mSpent > mReportedSpent;
    }

    /** Deducts tokens permanently for another VM. */
    void lend(long tokens) {
        requireNotNegative(tokens);
        mLent += tokens;
    }

    /** Deducts tokens for requests at another VM. They count as demand of this VM as well. */
    void lendToRequests(long nowMs, long tokens) {
        requireNotNegative(tokens);
        mLent += tokens;
        addDemand(nowMs, tokens);
    }

    /** Adds tokens that another VM has deducted from its account; waiting requests ask again. */
    void borrow(long tokens) {
        requireNotNegative(tokens);
        mBorrowed += tokens;
        if (tokens > 0) {
            clearWanted();
        }
    }

    /**
     * Adds the tokens that another VM transfers: those that its requests did not use, and spent
     * tokens that this VM is to report. The latter were lent by some VM, so that the tokens used by
     * this VM do not change.
     */
    void acceptTransfer(long nowMs, long tokens, long spent) {
        requireNotNegative(spent);
        borrow(tokens);
        addDemand(nowMs, -tokens);
        mSpent += spent;
        mLent -= spent;
    }

    /**
     * Deducts and returns the spent tokens that no write of this VM has ever reported to the store.
     */
    long takeUnreportedSpent() {
        long spent = neverWrittenSpent();
        mSpent -= spent;
        mLent += spent;
        return spent;
    }

    long neverWrittenSpent() {
        return Math.max(0, mSpent - mMaxWrittenSpent);
    }

    /**
     * Records that a write which reports all spending and a grant has been sent. The write may
     * never be answered.
     */
    void onWriteSent(long grant) {
        mMaxWrittenSpent = Math.max(mMaxWrittenSpent, mSpent);
        mLargestSentGrant = Math.max(mLargestSentGrant, grant);
    }

    /** Records that the last write has taken effect. */
    void onWritten(long grant) {
        mLargestSentGrant = grant;
    }

    /**
     * Handles that the store was restored: only what may be spent now was certainly granted, and
     * what the restored store shows beyond that was returned before.
     */
    void onStoreRestored() {
        mLargestSentGrant = mLimit;
    }

    /**
     * Returns how much of a stored grant of this incarnation is its own: no more than it has
     * written itself. Other VMs may restore a grant that it has returned since.
     */
    long ownPart(long storedGrant) {
        return Math.min(storedGrant, mLargestSentGrant);
    }

    /** Returns the grant of this incarnation that was last read from the store. */
    long granted() {
        return mGranted;
    }

    long reportedSpent() {
        return mReportedSpent;
    }

    /** Returns the tokens needed by all requests that were not admitted since the last exchange. */
    long wanted() {
        return mWanted;
    }

    /**
     * Returns the tokens needed by the smallest request that was not admitted since the last
     * exchange.
     */
    OptionalLong smallestWanted() {
        return mWanted > 0 ? OptionalLong.of(mSmallestWanted) : OptionalLong.empty();
    }

    boolean reserve(long tokens) {
        requireNotNegative(tokens);
        if (tokens > free()) {
            return false;
        }
        mReserved += tokens;
        return true;
    }

    /**
     * Records a request that was not admitted; the store is checked again for it until the given
     * time.
     */
    void addWanted(long tokens, long recheckUntilMs) {
        requireNotNegative(tokens);
        mWanted += tokens;
        mSmallestWanted = Math.min(mSmallestWanted, tokens);
        recheckUntil(recheckUntilMs);
    }

    /** Records that the store is checked again until the given time. */
    void recheckUntil(long untilMs) {
        mRecheckUntilMs = Math.max(mRecheckUntilMs, untilMs);
    }

    /**
     * Returns whether requests were recently refused without confirmation that the budget is used
     * up.
     */
    boolean hasUnconfirmedRefusals(long nowMs) {
        return nowMs < mRecheckUntilMs;
    }

    void settle(long nowMs, long reserved, long used) {
        requireNotNegative(reserved);
        requireNotNegative(used);
        long spent = Math.min(reserved, used);
        mReserved -= reserved;
        mSpent += spent;
        addDemand(nowMs, spent);
    }

    /**
     * Clears the tokens that requests wait for: the exchange has ended, and the requests ask again.
     */
    void clearWanted() {
        mWanted = 0;
        mSmallestWanted = Long.MAX_VALUE;
    }

    void setLimit(long limit) {
        mLimit = limit;
    }

    /**
     * Updates the grant of this incarnation as read from the store, and how much of it may be
     * spent.
     */
    void onStoredGrant(long granted, long limit, long reportedSpent) {
        mGranted = granted;
        mLimit = limit;
        mReportedSpent = reportedSpent;
    }

    /** Returns the recent demand, in tokens per millisecond. */
    double demandPerMs(long nowMs) {
        decayDemand(nowMs);
        if (mFirstDemandMs > nowMs) {
            return 0;
        }
        long observedMs = nowMs - mFirstDemandMs + ASSUMED_DEMAND_MS;
        return Math.max(0, mDemandPerMs) / (1 - Math.exp(-observedMs / DEMAND_DECAY_MS));
    }

    private static void requireNotNegative(long tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("a negative number of tokens: " + tokens);
        }
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
