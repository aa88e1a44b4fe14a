package org.hornbeampass.coordination.escrow;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a VM knows of the budgets of one record: their levels, and the record as last seen.
 *
 * <p>Confined to one thread.
 */
final class KnownBudgets {
    /**
     * How old the last word of the store may be for a proof that a budget is used up, in
     * milliseconds. Reports of spending only grow, but a level that was raised may not have come
     * here while the store is out of reach.
     */
    static final long PROOF_MS = 4_000;

    /** Tokens of a budget of which the store has not been heard yet. */
    private static final long UNKNOWN_TOKENS = Long.MAX_VALUE / 2;

    private final Map<String, Long> mPrepaid = new HashMap<>();
    private EscrowRecord mRecord = EscrowRecord.empty();
    private boolean mSeen;
    private long mHeardMs = Long.MIN_VALUE / 2;

    void setPrepaid(String organisation, long tokens) {
        mPrepaid.put(organisation, tokens);
    }

    long prepaid(String organisation) {
        return mPrepaid.get(organisation);
    }

    Set<String> organisations() {
        return mPrepaid.keySet();
    }

    EscrowRecord record() {
        return mRecord;
    }

    EscrowRecord.Organisation stored(String organisation) {
        return mRecord.organisation(organisation);
    }

    /** Notes a word of the store. */
    void heard(long nowMs) {
        mHeardMs = nowMs;
    }

    void setRecord(EscrowRecord record) {
        mRecord = record;
    }

    /** Notes that the record is what the store holds. */
    void seen() {
        mSeen = true;
    }

    boolean isSeen() {
        return mSeen;
    }

    /** Returns how long ago the store was heard, in milliseconds; empty where it never was. */
    OptionalLong heardAgoMs(long nowMs) {
        return mSeen ? OptionalLong.of(nowMs - mHeardMs) : OptionalLong.empty();
    }

    /** Returns whether the store was heard within a time in milliseconds. */
    boolean heardWithin(long nowMs, long ms) {
        return nowMs - mHeardMs < ms;
    }

    /** Returns whether what is known is new enough for a proof. */
    boolean fresh(long nowMs) {
        return heardWithin(nowMs, PROOF_MS);
    }

    /** Returns the tokens that nobody is known to have spent, this VM's account included. */
    long unspent(String organisation, EscrowAccount account) {
        if (!mSeen) {
            return UNKNOWN_TOKENS;
        }
        long unreported = Math.max(0, account.spent() - account.reportedSpent());
        return prepaid(organisation) - stored(organisation).spent() - unreported;
    }

    /** Returns the tokens that nobody holds, as far as known. */
    long unallocated(String organisation) {
        return mSeen ? prepaid(organisation) - stored(organisation).granted() : UNKNOWN_TOKENS;
    }
}
