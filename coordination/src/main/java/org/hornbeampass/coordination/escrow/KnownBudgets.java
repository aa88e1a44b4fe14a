package org.hornbeampass.coordination.escrow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds what a VM knows of the budgets of one store record: their sizes and the record.
 *
 * <p>Not thread-safe; must be used on one thread.
 */
final class KnownBudgets {
    /**
     * The maximum age of the store's last reply for concluding that a budget is used up, in
     * milliseconds. Reported spending only grows, but a budget may have been raised without this VM
     * knowing while the store is unreachable.
     */
    static final long MAX_PROOF_AGE_MS = 4_000;

    /** The assumed tokens of a budget about which the store has not yet replied. */
    private static final long UNKNOWN_TOKENS = Long.MAX_VALUE / 2;

    /** The status that another VM reported, and when the store confirmed it, in milliseconds. */
    private record PeerReport(BudgetStatus status, long storeReplyMs) {}

    private final Map<String, Long> mPrepaid = new HashMap<>();
    private final Map<String, PeerReport> mPeerReports = new HashMap<>();
    private final KnownRecords mRecords = new KnownRecords();
    private final GrantCeilings mCeilings = new GrantCeilings();
    private boolean mRecordKnown;
    private boolean mGrantsSuspended;
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

    /** Returns the record in the store and in former eras of it. */
    KnownRecords records() {
        return mRecords;
    }

    /** Returns the ceilings up to which tokens may be granted. */
    GrantCeilings ceilings() {
        return mCeilings;
    }

    /** Returns an organisation's grants, including those that a restored store may lack. */
    EscrowRecord.Organisation stored(String organisation) {
        return mRecords.known().organisation(organisation);
    }

    /**
     * Sets whether no tokens are to be granted for now, since other VMs may not have written their
     * grants again after the store was restored.
     */
    void setGrantsSuspended(boolean suspended) {
        mGrantsSuspended = suspended;
    }

    /** Records that the store has replied. */
    void onStoreReply(long nowMs) {
        mLastReplyMs = nowMs;
    }

    /** Records that the known record is the one in the store. */
    void markRecordKnown() {
        mRecordKnown = true;
    }

    boolean isRecordKnown() {
        return mRecordKnown;
    }

    /**
     * Returns the time since the store last replied, in milliseconds; empty if the record was never
     * read.
     */
    OptionalLong storeReplyAgeMs(long nowMs) {
        return mRecordKnown ? OptionalLong.of(nowMs - mLastReplyMs) : OptionalLong.empty();
    }

    /**
     * Returns the age of the newest known reply of the store about a budget, to this VM or to
     * another one that reported it, in milliseconds; empty if nothing is known.
     */
    OptionalLong knowledgeAgeMs(long nowMs, String organisation) {
        return newerPeerReport(organisation)
                .map(t -> OptionalLong.of(nowMs - t.storeReplyMs()))
                .orElseGet(() -> storeReplyAgeMs(nowMs));
    }

    /** Returns whether the store replied within the given time in milliseconds. */
    boolean repliedWithin(long nowMs, long ms) {
        return nowMs - mLastReplyMs < ms;
    }

    /**
     * Applies the status of a budget that another VM reports, unless an earlier report about that
     * budget is newer.
     */
    void onPeerStatus(long nowMs, String organisation, BudgetStatus status) {
        long storeReplyMs = nowMs - status.heardAgoMs();
        Optional<PeerReport> before = Optional.ofNullable(mPeerReports.get(organisation));
        boolean older = before.isPresent() && before.get().storeReplyMs() > storeReplyMs;
        if (status.known() && !older) {
            mPeerReports.put(organisation, new PeerReport(status, storeReplyMs));
        }
    }

    /** Returns the status of a budget to report to other VMs. */
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

    /**
     * Returns whether the knowledge of a budget is recent enough to conclude that it is used up.
     */
    boolean isFresh(long nowMs, String organisation) {
        return repliedWithin(nowMs, MAX_PROOF_AGE_MS)
                || newerPeerReport(organisation)
                        .filter(t -> nowMs - t.storeReplyMs() < MAX_PROOF_AGE_MS)
                        .isPresent();
    }

    /**
     * Returns whether another VM reported that the store was unreachable for it, and its report is
     * newer than the store's last reply to this VM.
     */
    boolean peerReportedStoreLost(String organisation) {
        return newerPeerReport(organisation).filter(t -> t.status().storeLost()).isPresent();
    }

    /** Returns the report of another VM, if it is newer than the store's last reply to this VM. */
    private Optional<PeerReport> newerPeerReport(String organisation) {
        return Optional.ofNullable(mPeerReports.get(organisation))
                .filter(t -> t.storeReplyMs() > mLastReplyMs);
    }

    /**
     * Returns the tokens not known to be spent by any VM, taking this VM's account into account. Of
     * two known budget sizes the larger one is used, so that an outdated size cannot show a raised
     * budget as used up.
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

    /**
     * Returns the tokens that ended incarnations held and did not report as spent, as far as known.
     */
    long writtenOff(String organisation) {
        EscrowRecord.Organisation stored = stored(organisation);
        return stored.closedTokens() - stored.closedSpentTokens();
    }

    /** Returns the tokens that are not granted to any VM, as far as known. */
    long unallocated(String organisation) {
        return mRecordKnown ? ungranted(organisation) : UNKNOWN_TOKENS;
    }

    /** Returns the tokens that this VM may be granted now, as far as known. */
    long obtainable(String organisation) {
        return mRecordKnown ? grantable(organisation) : UNKNOWN_TOKENS;
    }

    /** Returns the tokens that a write which is based on the known record may grant. */
    long grantable(String organisation) {
        if (unknownGrants(organisation) > 0) {
            return 0;
        }
        long ungranted = ungranted(organisation);
        return mRecords.era() > 0
                ? Math.min(ungranted, usableCeiling(organisation) - stored(organisation).granted())
                : ungranted;
    }

    private long ungranted(String organisation) {
        return mGrantsSuspended ? 0 : prepaid(organisation) - stored(organisation).granted();
    }

    /** Returns the total of tokens that may be granted now. */
    long usableCeiling(String organisation) {
        return mCeilings.usable(organisation, mRecords, prepaid(organisation));
    }

    /** Returns the tokens that may have been granted although no record shows it. */
    long unknownGrants(String organisation) {
        return mCeilings.unknownGrants(organisation, mRecords, prepaid(organisation));
    }
}
