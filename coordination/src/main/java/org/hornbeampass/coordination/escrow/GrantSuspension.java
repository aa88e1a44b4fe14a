package org.hornbeampass.coordination.escrow;

/**
 * Decides how long no tokens of a pool are granted after the store was restored, so that grants
 * which it has forgotten are written again before others take their tokens.
 *
 * <p>Not thread-safe; must be used on one thread.
 */
final class GrantSuspension {
    /**
     * The time in which VMs that know of forgotten grants write them again, in milliseconds: they
     * learn of the restoration within half a second, and a call takes a few milliseconds.
     */
    private static final long SETTLE_MS = 1_000;

    private final int mPool;
    private final KnownBudgets mKnownBudgets;
    private final GrantListener mListener;
    private boolean mWaitedForOthers;
    private long mUntilMs = Long.MIN_VALUE;

    GrantSuspension(int pool, KnownBudgets knownBudgets, GrantListener listener) {
        mPool = pool;
        mKnownBudgets = knownBudgets;
        mListener = listener;
    }

    /** Handles a new era of the store, once the known records are those of the former one. */
    void onEra(long nowMs) {
        mWaitedForOthers = false;
        if (mKnownBudgets.records().hasForgottenGrants()) {
            begin(nowMs);
        }
    }

    private void begin(long nowMs) {
        mUntilMs = nowMs + SETTLE_MS;
        mKnownBudgets.setGrantsSuspended(true);
        KnownRecords records = mKnownBudgets.records();
        mListener.onGrantsSuspended(nowMs, mPool, records.known().era(), records.era());
    }

    /** Ends the suspension if its time is over. */
    void tick(long nowMs) {
        if (nowMs >= mUntilMs) {
            mKnownBudgets.setGrantsSuspended(false);
        }
    }

    /**
     * Returns whether the record that was just read may be written. A VM that knows no grants of a
     * former era leaves it to others for a while to write theirs into a restored copy.
     */
    boolean mayWrite(long nowMs) {
        KnownRecords records = mKnownBudgets.records();
        if (!records.isOfFormerEra() || records.hasForgottenGrants()) {
            return true;
        }
        if (!mWaitedForOthers) {
            mWaitedForOthers = true;
            begin(nowMs);
        }
        return nowMs >= mUntilMs;
    }
}
