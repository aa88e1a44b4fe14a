package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.requests.EntryDecision.Kind;
import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.coordination.requests.RequestEntry.OutcomeEntry;
import org.hornbeampass.coordination.requests.RequestEntry.WithdrawEntry;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides the entries of one shard of the request log.
 *
 * <p>A pure function of the log: every VM that applies the same batches in order comes to the same
 * decisions, whoever wrote the batches, so it does no harm if two VMs both act as the owner of the
 * shard. Invariants: a remembered id has one bill, of the largest amount that was billed for it;
 * one attempt holds a claim; an entry that is applied again gets the same decision. Not
 * thread-safe; guarded by the ledger's lock.
 */
final class ShardState {
    private static final int COUNT_BITS = 8;
    private static final long COUNT_MASK = 0xff;
    private static final int MAX_COUNT = 0xfe;
    private static final int LATE_COUNT = 0xff;
    private static final long DUPLICATE_TAG = 1;
    private static final long RAISED_TAG = 2;

    private final Retention mRetention;
    private final ActiveClock mClock;
    private final RecentBills mBills;
    private final ClaimTable mClaims;
    private final Map<BudgetKey, BudgetTotals> mTotals;
    private long mNextSequence;
    private Optional<Checkpoint> mCheckpoint = Optional.empty();

    /** Creates the state before the first batch. */
    ShardState(Retention retention) {
        this(
                retention,
                0,
                new ActiveClock(),
                new RecentBills(0),
                new ClaimTable(),
                new HashMap<>());
    }

    /** Creates the state from a checkpoint. */
    ShardState(
            Retention retention,
            long nextSequence,
            ActiveClock clock,
            RecentBills bills,
            ClaimTable claims,
            Map<BudgetKey, BudgetTotals> totals) {
        mRetention = retention;
        mNextSequence = nextSequence;
        mClock = clock;
        mBills = bills;
        mClaims = claims;
        mTotals = totals;
    }

    /** Returns the sequence of the next batch. */
    long nextSequence() {
        return mNextSequence;
    }

    ActiveClock clock() {
        return mClock;
    }

    RecentBills bills() {
        return mBills;
    }

    ClaimTable claims() {
        return mClaims;
    }

    /** Returns the totals billed to each budget. */
    Map<BudgetKey, BudgetTotals> totals() {
        return mTotals;
    }

    /**
     * Advances to the time of a batch, before its entries are applied. Takes a checkpoint if that
     * closes a generation of bills.
     */
    void beginBatch(long batchMs) {
        mClock.advance(batchMs);
        if (mBills.openGeneration(mClock.activeMs() / mRetention.generationMs())) {
            mClaims.removeExpired(mClock, mRetention);
            mCheckpoint = Optional.of(Checkpoint.of(this));
        }
    }

    /** Returns the newest checkpoint and removes it; empty if there is none since the last call. */
    Optional<Checkpoint> pollCheckpoint() {
        Optional<Checkpoint> newest = mCheckpoint;
        mCheckpoint = Optional.empty();
        return newest;
    }

    /** Ends a batch, so that the next sequence is expected. */
    void endBatch() {
        mNextSequence++;
    }

    /**
     * Applies a whole batch and returns the decisions; entries of a kind that is unknown to this
     * version are ignored.
     */
    List<EntryDecision> apply(LogBatch batch) {
        List<EntryDecision> decisions = new ArrayList<>();
        for (String text : batch.entries()) {
            OptionalLong time = EntryCodec.decodeTime(text);
            if (time.isPresent()) {
                beginBatch(time.getAsLong());
            } else {
                EntryCodec.decode(text).map(this::apply).forEach(decisions::add);
            }
        }
        endBatch();
        return decisions;
    }

    /** Applies one entry and returns its decision. */
    EntryDecision apply(RequestEntry entry) {
        Optional<EntryDecision> decided = existingDecision(entry);
        if (decided.isPresent()) {
            return decided.get();
        }
        if (entry instanceof BillEntry bill) {
            return applyBill(bill.bill());
        }
        if (entry instanceof ClaimEntry claim) {
            return applyClaim(claim.claim());
        }
        if (entry instanceof WithdrawEntry withdraw) {
            mClaims.withdraw(withdraw.key(), withdraw.attempt(), withdraw.withdrawnAtMs());
            return EntryDecision.of(Kind.DONE);
        }
        return applyOutcome(((OutcomeEntry) entry).outcome());
    }

    /**
     * Returns the decision on an entry if it is already final and the entry need not be appended.
     * That another attempt holds a claim is not final: a batch that this VM has not read yet may
     * have withdrawn that claim, so such an entry must be appended.
     */
    Optional<EntryDecision> finalDecision(RequestEntry entry) {
        return existingDecision(entry)
                .filter(d -> d.kind() != Kind.HELD && d.kind() != Kind.KEY_REUSED);
    }

    private Optional<EntryDecision> existingDecision(RequestEntry entry) {
        if (entry instanceof BillEntry bill) {
            return existingBillDecision(bill.bill());
        }
        if (entry instanceof ClaimEntry claim) {
            return existingClaimDecision(claim.claim());
        }
        if (entry instanceof OutcomeEntry outcome) {
            return mClaims.find(outcome.key())
                    .flatMap(ClaimTable.HeldClaim::outcome)
                    .filter(o -> o.attempt().equals(outcome.attempt()))
                    .map(o -> EntryDecision.of(Kind.DONE));
        }
        return mClaims.isWithdrawn(entry.attempt())
                ? Optional.of(EntryDecision.of(Kind.DONE))
                : Optional.empty();
    }

    private Optional<EntryDecision> existingBillDecision(Bill bill) {
        Optional<RecentBills.Entry> first = mBills.find(RequestFingerprint.of(bill.key()));
        long tag = RequestFingerprint.attemptTag(bill.attempt());
        if (first.isPresent() && tag(first.get()) == tag) {
            int repeats = count(first.get());
            return Optional.of(EntryDecision.ofBill(Kind.BILLED, repeats, bill.tokens()));
        }
        if (first.isEmpty() && !isLate(bill.admittedAtMs())) {
            return Optional.empty();
        }
        return mBills.find(RequestFingerprint.of(bill.key(), bill.attempt()))
                .map(ShardState::repeatDecision);
    }

    private static EntryDecision repeatDecision(RecentBills.Entry attempt) {
        int count = count(attempt);
        if (count == LATE_COUNT) {
            return EntryDecision.of(Kind.LATE);
        }
        Kind kind = tag(attempt) == RAISED_TAG ? Kind.RAISED : Kind.DUPLICATE;
        return EntryDecision.ofBill(kind, count, attempt.amount());
    }

    private EntryDecision applyBill(Bill bill) {
        RequestFingerprint id = RequestFingerprint.of(bill.key());
        Optional<RecentBills.Entry> first = mBills.find(id);
        if (first.isPresent()) {
            return applyRepeat(bill, id, first.get());
        }
        if (isLate(bill.admittedAtMs())) {
            rememberAttempt(bill, DUPLICATE_TAG, LATE_COUNT, 0);
            addToTotals(bill, BudgetTotals.ofLate(bill.tokens()));
            return EntryDecision.of(Kind.LATE);
        }
        mBills.put(id, packValue(RequestFingerprint.attemptTag(bill.attempt()), 0), bill.tokens());
        addToTotals(bill, BudgetTotals.ofBilled(bill.tokens()));
        return EntryDecision.ofBill(Kind.BILLED, 0, bill.tokens());
    }

    /**
     * Decides the bill of a further attempt, which raises the bill of the request if it is larger.
     */
    private EntryDecision applyRepeat(Bill bill, RequestFingerprint id, RecentBills.Entry first) {
        int repeats = Math.min(MAX_COUNT, count(first) + 1);
        long raisedTo = Math.max(first.amount(), bill.tokens());
        long charged = raisedTo - first.amount();
        boolean raised = charged > 0;
        mBills.put(id, packValue(tag(first), repeats), raisedTo);
        rememberAttempt(bill, raised ? RAISED_TAG : DUPLICATE_TAG, repeats, charged);
        addToTotals(
                bill,
                raised
                        ? BudgetTotals.ofRaised(bill.tokens(), charged)
                        : BudgetTotals.ofDuplicate(bill.tokens()));
        return EntryDecision.ofBill(raised ? Kind.RAISED : Kind.DUPLICATE, repeats, charged);
    }

    private void rememberAttempt(Bill bill, long tag, int count, long charged) {
        RequestFingerprint attempt = RequestFingerprint.of(bill.key(), bill.attempt());
        mBills.put(attempt, packValue(tag, count), charged);
    }

    private static long packValue(long tag, int count) {
        return (tag << COUNT_BITS) | count;
    }

    private static long tag(RecentBills.Entry entry) {
        return entry.value() >>> COUNT_BITS;
    }

    private static int count(RecentBills.Entry entry) {
        return (int) (entry.value() & COUNT_MASK);
    }

    private void addToTotals(Bill bill, BudgetTotals more) {
        mTotals.merge(bill.budgetKey(), more, BudgetTotals::plus);
    }

    private boolean isLate(long admittedAtMs) {
        return mClock.activeMsSince(admittedAtMs) > mRetention.lateMs();
    }

    private Optional<EntryDecision> existingClaimDecision(Claim claim) {
        if (mClaims.isWithdrawn(claim.attempt())) {
            return Optional.of(EntryDecision.of(Kind.WITHDRAWN));
        }
        if (ClaimTable.isExpired(claim.key().request(), mClock.timeMs(), mRetention)) {
            return Optional.of(EntryDecision.of(Kind.EXPIRED));
        }
        return mClaims.find(claim.key()).map(held -> heldClaimDecision(held, claim));
    }

    private static EntryDecision heldClaimDecision(ClaimTable.HeldClaim held, Claim claim) {
        if (held.attempt().equals(claim.attempt())) {
            return EntryDecision.of(Kind.GRANTED);
        }
        if (!held.key().equals(claim.key())) {
            return EntryDecision.of(Kind.KEY_REUSED);
        }
        return held.outcome()
                .map(EntryDecision::recorded)
                .orElseGet(() -> EntryDecision.held(held.attempt().vm()));
    }

    private EntryDecision applyClaim(Claim claim) {
        if (isLate(claim.admittedAtMs())) {
            return EntryDecision.of(Kind.EXPIRED);
        }
        boolean undated = KeyTimestamp.parse(claim.key().request()).isEmpty();
        if (undated && mClaims.undatedBytes() > mRetention.maxUndatedBytes()) {
            return EntryDecision.of(Kind.FULL);
        }
        mClaims.grant(claim, mClock.timeMs());
        return EntryDecision.of(Kind.GRANTED);
    }

    private EntryDecision applyOutcome(CallOutcome outcome) {
        Optional<ClaimTable.HeldClaim> held = mClaims.find(outcome.key());
        if (held.isEmpty() || !held.get().attempt().equals(outcome.attempt())) {
            return EntryDecision.of(Kind.NOT_HELD);
        }
        mClaims.record(held.get(), outcome);
        return EntryDecision.of(Kind.DONE);
    }
}
