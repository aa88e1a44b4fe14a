package org.hornbeampass.coordination.escrow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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

    /** What another VM told, and when the store said so, in milliseconds. */
    private record Told(BudgetStatus status, long heardMs) {}

    private final Map<String, Long> mPrepaid = new HashMap<>();
    private final Map<String, Told> mTold = new HashMap<>();
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

    /** Takes what another VM tells of a budget, where it is newer than what is known here. */
    void tell(long nowMs, String organisation, BudgetStatus status) {
        long heardMs = nowMs - status.heardAgoMs();
        Optional<Told> before = Optional.ofNullable(mTold.get(organisation));
        boolean older = before.isPresent() && before.get().heardMs() > heardMs;
        if (status.heard() && !older) {
            mTold.put(organisation, new Told(status, heardMs));
        }
    }

    /** Returns what this VM can tell others of a budget. */
    BudgetStatus status(long nowMs, String organisation, boolean storeLost) {
        if (!mSeen) {
            return BudgetStatus.UNKNOWN;
        }
        return new BudgetStatus(
                prepaid(organisation), stored(organisation).spent(), nowMs - mHeardMs, storeLost);
    }

    /** Returns whether what is known of a budget is new enough for a proof. */
    boolean fresh(long nowMs, String organisation) {
        return heardWithin(nowMs, PROOF_MS)
                || told(organisation).filter(t -> nowMs - t.heardMs() < PROOF_MS).isPresent();
    }

    /** Returns whether the VM that told last of a budget had lost the store. */
    boolean toldStoreLost(String organisation) {
        return told(organisation).filter(t -> t.status().storeLost()).isPresent();
    }

    /** Returns what another VM told, where that is newer than the store's own last word. */
    private Optional<Told> told(String organisation) {
        return Optional.ofNullable(mTold.get(organisation)).filter(t -> t.heardMs() > mHeardMs);
    }

    /**
     * Returns the tokens that nobody is known to have spent, this VM's account included. Of two
     * levels the higher one counts, so that an older level is no proof against a raised budget.
     */
    long unspent(String organisation, EscrowAccount account) {
        Optional<Told> told = told(organisation);
        if (told.isPresent()) {
            BudgetStatus status = told.get().status();
            return Math.max(status.prepaid(), prepaid(organisation)) - status.spent();
        }
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
