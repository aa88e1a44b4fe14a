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
 * <p>A pure function of the log: every VM that applies the same batches in their order comes to the
 * same decisions, whoever wrote them, so it does not matter that two VMs think they own the shard.
 * Invariants: a remembered id has one bill, of the largest amount that was billed for it; one
 * attempt holds a claim; an entry that is applied again is decided as before. Not thread-safe; the
 * ledger's lock guards it.
 */
final class ShardState {
    private static final int COUNT_BITS = 8;
    private static final long COUNT_MASK = 0xff;
    private static final int MAX_COUNT = 0xfe;
    private static final int LATE_COUNT = 0xff;
    private static final long DUPLICATE_MARK = 1;
    private static final long RAISED_MARK = 2;

    private final Retention mRetention;
    private final ActiveClock mClock;
    private final BillMemory mBills;
    private final ClaimMemory mClaims;
    private final Map<BudgetKey, BudgetTotals> mTotals;
    private long mNextSequence;
    private Optional<Checkpoint> mCheckpoint = Optional.empty();

    /** Creates the state before the first batch. */
    ShardState(Retention retention) {
        this(
                retention,
                0,
                new ActiveClock(),
                new BillMemory(0),
                new ClaimMemory(),
                new HashMap<>());
    }

    /** Creates the state that a checkpoint gives. */
    ShardState(
            Retention retention,
            long nextSequence,
            ActiveClock clock,
            BillMemory bills,
            ClaimMemory claims,
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

    BillMemory bills() {
        return mBills;
    }

    ClaimMemory claims() {
        return mClaims;
    }

    /** Returns what was billed to each budget. */
    Map<BudgetKey, BudgetTotals> totals() {
        return mTotals;
    }

    /**
     * Moves on to a batch's time, before its entries are applied. Takes a checkpoint where a
     * generation of bills is closed by it.
     */
    void beginBatch(long batchMs) {
        mClock.advance(batchMs);
        if (mBills.advanceTo(mClock.activeMs() / mRetention.generationMs())) {
            mClaims.sweep(mClock, mRetention);
            mCheckpoint = Optional.of(Checkpoint.of(this));
        }
    }

    /** Takes away the newest checkpoint that was not taken away yet. */
    Optional<Checkpoint> pollCheckpoint() {
        Optional<Checkpoint> newest = mCheckpoint;
        mCheckpoint = Optional.empty();
        return newest;
    }

    /** Ends a batch: the next one is expected. */
    void endBatch() {
        mNextSequence++;
    }

    /** Applies a whole batch; entries of a kind that this version does not know change nothing. */
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

    /** Applies one entry and returns what is decided on it. */
    EntryDecision apply(RequestEntry entry) {
        Optional<EntryDecision> decided = decided(entry);
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
     * Returns the decision on an entry that needs no place in the log, since what was applied
     * decides it for good. That another attempt holds a claim is none: a batch that this VM has not
     * seen may have withdrawn it, and only a place in the log tells.
     */
    Optional<EntryDecision> known(RequestEntry entry) {
        return decided(entry).filter(d -> d.kind() != Kind.HELD && d.kind() != Kind.KEY_REUSED);
    }

    private Optional<EntryDecision> decided(RequestEntry entry) {
        if (entry instanceof BillEntry bill) {
            return knownBill(bill.bill());
        }
        if (entry instanceof ClaimEntry claim) {
            return knownClaim(claim.claim());
        }
        if (entry instanceof OutcomeEntry outcome) {
            return mClaims.find(outcome.key())
                    .flatMap(ClaimMemory.Held::outcome)
                    .filter(o -> o.attempt().equals(outcome.attempt()))
                    .map(o -> EntryDecision.of(Kind.DONE));
        }
        return mClaims.withdrawn(entry.attempt())
                ? Optional.of(EntryDecision.of(Kind.DONE))
                : Optional.empty();
    }

    private Optional<EntryDecision> knownBill(Bill bill) {
        Optional<BillMemory.Entry> first = mBills.find(RequestFingerprint.of(bill.key()));
        long mark = RequestFingerprint.mark(bill.attempt());
        if (first.isPresent() && mark(first.get()) == mark) {
            int repeats = count(first.get());
            return Optional.of(EntryDecision.ofBill(Kind.BILLED, repeats, bill.tokens()));
        }
        if (first.isEmpty() && !late(bill.admittedAtMs())) {
            return Optional.empty();
        }
        return mBills.find(RequestFingerprint.of(bill.key(), bill.attempt()))
                .map(ShardState::onRepeat);
    }

    private static EntryDecision onRepeat(BillMemory.Entry attempt) {
        int count = count(attempt);
        if (count == LATE_COUNT) {
            return EntryDecision.of(Kind.LATE);
        }
        Kind kind = mark(attempt) == RAISED_MARK ? Kind.RAISED : Kind.DUPLICATE;
        return EntryDecision.ofBill(kind, count, attempt.amount());
    }

    private EntryDecision applyBill(Bill bill) {
        RequestFingerprint id = RequestFingerprint.of(bill.key());
        Optional<BillMemory.Entry> first = mBills.find(id);
        if (first.isPresent()) {
            return applyRepeat(bill, id, first.get());
        }
        if (late(bill.admittedAtMs())) {
            rememberAttempt(bill, DUPLICATE_MARK, LATE_COUNT, 0);
            total(bill, BudgetTotals.ofLate(bill.tokens()));
            return EntryDecision.of(Kind.LATE);
        }
        mBills.put(id, value(RequestFingerprint.mark(bill.attempt()), 0), bill.tokens());
        total(bill, BudgetTotals.ofBilled(bill.tokens()));
        return EntryDecision.ofBill(Kind.BILLED, 0, bill.tokens());
    }

    /** Decides a further attempt's bill: it raises the request's bill where it is larger. */
    private EntryDecision applyRepeat(Bill bill, RequestFingerprint id, BillMemory.Entry first) {
        int repeats = Math.min(MAX_COUNT, count(first) + 1);
        long raisedTo = Math.max(first.amount(), bill.tokens());
        long charged = raisedTo - first.amount();
        boolean raised = charged > 0;
        mBills.put(id, value(mark(first), repeats), raisedTo);
        rememberAttempt(bill, raised ? RAISED_MARK : DUPLICATE_MARK, repeats, charged);
        total(
                bill,
                raised
                        ? BudgetTotals.ofRaised(bill.tokens(), charged)
                        : BudgetTotals.ofDuplicate(bill.tokens()));
        return EntryDecision.ofBill(raised ? Kind.RAISED : Kind.DUPLICATE, repeats, charged);
    }

    private void rememberAttempt(Bill bill, long mark, int count, long charged) {
        RequestFingerprint attempt = RequestFingerprint.of(bill.key(), bill.attempt());
        mBills.put(attempt, value(mark, count), charged);
    }

    private static long value(long mark, int count) {
        return (mark << COUNT_BITS) | count;
    }

    private static long mark(BillMemory.Entry entry) {
        return entry.value() >>> COUNT_BITS;
    }

    private static int count(BillMemory.Entry entry) {
        return (int) (entry.value() & COUNT_MASK);
    }

    private void total(Bill bill, BudgetTotals more) {
        mTotals.merge(bill.budgetKey(), more, BudgetTotals::plus);
    }

    private boolean late(long admittedAtMs) {
        return mClock.activeSince(admittedAtMs) > mRetention.lateMs();
    }

    private Optional<EntryDecision> knownClaim(Claim claim) {
        if (mClaims.withdrawn(claim.attempt())) {
            return Optional.of(EntryDecision.of(Kind.WITHDRAWN));
        }
        if (ClaimMemory.expired(claim.key().request(), mClock.timeMs(), mRetention)) {
            return Optional.of(EntryDecision.of(Kind.EXPIRED));
        }
        return mClaims.find(claim.key()).map(held -> onHeld(held, claim));
    }

    private static EntryDecision onHeld(ClaimMemory.Held held, Claim claim) {
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
        if (late(claim.admittedAtMs())) {
            return EntryDecision.of(Kind.EXPIRED);
        }
        boolean undated = KeyTime.of(claim.key().request()).isEmpty();
        if (undated && mClaims.undatedBytes() > mRetention.maxUndatedBytes()) {
            return EntryDecision.of(Kind.FULL);
        }
        mClaims.grant(claim, mClock.timeMs());
        return EntryDecision.of(Kind.GRANTED);
    }

    private EntryDecision applyOutcome(CallOutcome outcome) {
        Optional<ClaimMemory.Held> held = mClaims.find(outcome.key());
        if (held.isEmpty() || !held.get().attempt().equals(outcome.attempt())) {
            return EntryDecision.of(Kind.NOT_HELD);
        }
        mClaims.record(held.get(), outcome);
        return EntryDecision.of(Kind.DONE);
    }
}
