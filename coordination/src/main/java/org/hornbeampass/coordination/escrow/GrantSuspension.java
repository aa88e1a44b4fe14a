package org.hornbeampass.coordination.escrow;

import java.util.HashMap;
import java.util.Map;

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
    private final Map<String, Long> mUnknownGrants = new HashMap<>();
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

    /**
     * Returns whether the record may be created, which the store lacks. Before any restoration
     * nobody can know of a former one.
     */
    boolean mayCreate(long nowMs) {
        return mKnownBudgets.records().era() <= GrantCeilings.FIRST_ERA || mayWrite(nowMs);
    }

    /** Records that the planned grants are sent, in which unknown ones count as granted. */
    void onWriteSent() {
        mUnknownGrants.clear();
        for (String organisation : mKnownBudgets.organisations()) {
            long unknown = mKnownBudgets.unknownGrants(organisation);
            if (unknown > 0) {
                mUnknownGrants.put(organisation, unknown);
            }
        }
    }

    /** Reports the unknown grants in the record that was written. */
    void onWritten(long nowMs) {
        long era = mKnownBudgets.records().era();
        mUnknownGrants.forEach((name, t) -> mListener.onTokensWrittenOff(nowMs, name, t, era));
        mUnknownGrants.clear();
    }

    /** Ends the suspension if its time is over. */
    void tick(long nowMs) {
        if (nowMs >= mUntilMs) {
            mKnownBudgets.setGrantsSuspended(false);
        }
    }

    /**
     * Returns whether the record that was just read may be written. A VM that was not told of the
     * last grants of a former era leaves it to others for a while to write them into a restored
     * copy.
     */
    boolean mayWrite(long nowMs) {
        KnownRecords records = mKnownBudgets.records();
        if (!records.mayLackUnknownGrants()) {
            return true;
        }
        if (!mWaitedForOthers) {
            mWaitedForOthers = true;
            begin(nowMs);
        }
        return nowMs >= mUntilMs;
    }
}
