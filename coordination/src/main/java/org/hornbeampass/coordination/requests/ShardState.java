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
 * Invariants: one bill of a remembered id stands; one attempt holds a claim; an entry that is
 * applied again is decided as before. Not thread-safe; the ledger's lock guards it.
 */
final class ShardState {
    private static final int COUNT_BITS = 8;
    private static final long COUNT_MASK = 0xff;
    private static final int MAX_COUNT = 0xfe;
    private static final int LATE_COUNT = 0xff;

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
        OptionalLong first = mBills.find(RequestFingerprint.of(bill.key()));
        if (first.isPresent()
                && first.getAsLong() >>> COUNT_BITS == RequestFingerprint.mark(bill.attempt())) {
            return Optional.of(EntryDecision.ofBill(Kind.BILLED, count(first.getAsLong())));
        }
        boolean late = late(bill.admittedAtMs());
        if (first.isEmpty() && !late) {
            return Optional.empty();
        }
        OptionalLong attempt = mBills.find(RequestFingerprint.of(bill.key(), bill.attempt()));
        if (attempt.isEmpty()) {
            return Optional.empty();
        }
        int count = count(attempt.getAsLong());
        return Optional.of(
                count == LATE_COUNT
                        ? EntryDecision.of(Kind.LATE)
                        : EntryDecision.ofBill(Kind.DUPLICATE, count));
    }

    private EntryDecision applyBill(Bill bill) {
        RequestFingerprint id = RequestFingerprint.of(bill.key());
        OptionalLong first = mBills.find(id);
        if (first.isEmpty() && late(bill.admittedAtMs())) {
            rememberAttempt(bill, LATE_COUNT);
            total(bill, BudgetTotals.ofLate(bill.tokens()));
            return EntryDecision.of(Kind.LATE);
        }
        if (first.isEmpty()) {
            mBills.put(id, RequestFingerprint.mark(bill.attempt()) << COUNT_BITS);
            total(bill, BudgetTotals.ofBilled(bill.tokens()));
            return EntryDecision.ofBill(Kind.BILLED, 0);
        }
        long value = first.getAsLong();
        int repeats = Math.min(MAX_COUNT, count(value) + 1);
        mBills.put(id, (value & ~COUNT_MASK) | repeats);
        rememberAttempt(bill, repeats);
        total(bill, BudgetTotals.ofDuplicate(bill.tokens()));
        return EntryDecision.ofBill(Kind.DUPLICATE, repeats);
    }

    private void rememberAttempt(Bill bill, int count) {
        mBills.put(RequestFingerprint.of(bill.key(), bill.attempt()), (1L << COUNT_BITS) | count);
    }

    private void total(Bill bill, BudgetTotals more) {
        mTotals.merge(bill.budgetKey(), more, BudgetTotals::plus);
    }

    private static int count(long value) {
        return (int) (value & COUNT_MASK);
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
