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
    static final long MAX_PROOF_AGE_MS = 4_000;

    /** Tokens of a budget of which the store has not been heard yet. */
    private static final long UNKNOWN_TOKENS = Long.MAX_VALUE / 2;

    /** What another VM told, and when the store said so, in milliseconds. */
    private record PeerReport(BudgetStatus status, long storeReplyMs) {}

    private final Map<String, Long> mPrepaid = new HashMap<>();
    private final Map<String, PeerReport> mPeerReports = new HashMap<>();
    private EscrowRecord mRecord = EscrowRecord.empty();
    private boolean mRecordKnown;
    private long mLastReplyMs = Long.MIN_VALUE / 2;

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
    void onStoreReply(long nowMs) {
        mLastReplyMs = nowMs;
    }

    void setRecord(EscrowRecord record) {
        mRecord = record;
    }

    /** Notes that the record is what the store holds. */
    void markRecordKnown() {
        mRecordKnown = true;
    }

    boolean isRecordKnown() {
        return mRecordKnown;
    }

    /** Returns how long ago the store was heard, in milliseconds; empty where it never was. */
    OptionalLong storeReplyAgeMs(long nowMs) {
        return mRecordKnown ? OptionalLong.of(nowMs - mLastReplyMs) : OptionalLong.empty();
    }

    /** Returns whether the store was heard within a time in milliseconds. */
    boolean repliedWithin(long nowMs, long ms) {
        return nowMs - mLastReplyMs < ms;
    }

    /** Takes what another VM tells of a budget, where it is newer than what is known here. */
    void onPeerStatus(long nowMs, String organisation, BudgetStatus status) {
        long storeReplyMs = nowMs - status.heardAgoMs();
        Optional<PeerReport> before = Optional.ofNullable(mPeerReports.get(organisation));
        boolean older = before.isPresent() && before.get().storeReplyMs() > storeReplyMs;
        if (status.known() && !older) {
            mPeerReports.put(organisation, new PeerReport(status, storeReplyMs));
        }
    }

    /** Returns what this VM can tell others of a budget. */
    BudgetStatus status(long nowMs, String organisation, boolean storeLost) {
        if (!mRecordKnown) {
            return BudgetStatus.UNKNOWN;
        }
        return new BudgetStatus(
                prepaid(organisation),
                stored(organisation).spent(),
                nowMs - mLastReplyMs,
                storeLost);
    }

    /** Returns whether what is known of a budget is new enough for a proof. */
    boolean isFresh(long nowMs, String organisation) {
        return repliedWithin(nowMs, MAX_PROOF_AGE_MS)
                || newerPeerReport(organisation)
                        .filter(t -> nowMs - t.storeReplyMs() < MAX_PROOF_AGE_MS)
                        .isPresent();
    }

    /** Returns whether the VM that told last of a budget had lost the store. */
    boolean peerReportedStoreLost(String organisation) {
        return newerPeerReport(organisation).filter(t -> t.status().storeLost()).isPresent();
    }

    /** Returns what another VM told, where that is newer than the store's own last word. */
    private Optional<PeerReport> newerPeerReport(String organisation) {
        return Optional.ofNullable(mPeerReports.get(organisation))
                .filter(t -> t.storeReplyMs() > mLastReplyMs);
    }

    /**
     * Returns the tokens that nobody is known to have spent, this VM's account included. Of two
     * levels the higher one counts, so that an older level is no proof against a raised budget.
     */
    long unspent(String organisation, EscrowAccount account) {
        Optional<PeerReport> report = newerPeerReport(organisation);
        if (report.isPresent()) {
            BudgetStatus status = report.get().status();
            return Math.max(status.prepaid(), prepaid(organisation)) - status.spent();
        }
        if (!mRecordKnown) {
            return UNKNOWN_TOKENS;
        }
        long unreported = Math.max(0, account.spent() - account.reportedSpent());
        return prepaid(organisation) - stored(organisation).spent() - unreported;
    }

    /** Returns the tokens that nobody holds, as far as known. */
    long unallocated(String organisation) {
        return mRecordKnown
                ? prepaid(organisation) - stored(organisation).granted()
                : UNKNOWN_TOKENS;
    }
}
