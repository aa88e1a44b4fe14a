package org.hornbeampass.coordination.budget;

import org.agrona.collections.Long2LongHashMap;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.budget.HolderRecord;
import org.hornbeampass.state.budget.Reservation;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What this VM holds of one budget.
 *
 * <p>Invariants: tokens are added only by a grant seen in the platform's record or by a move that
 * its giver subtracted first, and are subtracted before a return is written or a move is sent. So
 * whatever the VM believes to hold, it alone may spend, with no regard to messages or clocks. Every
 * token held or spent and not yet reported is charged to one holder's entry in the record: this
 * VM's own, or one of {@code mForeign} or {@code mAdopting}. Not thread-safe; guarded by its
 * organisation's lock.
 */
final class Holding {
    private static final long NO_RESERVATION = -1;

    private final BudgetKey mKey;
    private final Long2LongHashMap mOpenReservations = new Long2LongHashMap(NO_RESERVATION);
    private final DemandRate mDemand = new DemandRate();
    private final TreeMap<HolderId, Long> mForeignCharges = new TreeMap<>();
    private final TreeMap<HolderId, Long> mTransferringCharges = new TreeMap<>();
    private HolderId mHolder;
    private boolean mRegistered;
    private long mFree;
    private long mReserved;
    private long mGranted;
    private long mReturned;
    private long mReturnedInRecord;
    private long mReturnedInUnknownWrite;
    private long mSpent;
    private long mSpentInRecord;
    private long mSpentInLastWrite;
    private long mMaxSpentWritten;
    private long mTokensToWithhold;
    private boolean mLastWriteUnknown;
    private boolean mAnyWriteUnknown;
    private long mMovedIn;
    private long mUnnettedRefund;
    private long mOverrun;

    Holding(BudgetKey key, HolderId holder) {
        mKey = key;
        mHolder = holder;
    }

    BudgetKey key() {
        return mKey;
    }

    HolderId holder() {
        return mHolder;
    }

    DemandRate demand() {
        return mDemand;
    }

    boolean registered() {
        return mRegistered;
    }

    long free() {
        return mFree;
    }

    long reserved() {
        return mReserved;
    }

    long spent() {
        return mSpent;
    }

    long overrun() {
        return mOverrun;
    }

    /** Returns what this VM drew and did not return. */
    long drawn() {
        return mGranted - mReturned;
    }

    /** Sets tokens aside where enough are free. */
    Optional<Reservation> reserve(RequestId request, long tokens, long number) {
        if (mFree < tokens) {
            return Optional.empty();
        }
        mFree -= tokens;
        mReserved += tokens;
        mOpenReservations.put(number, tokens);
        return Optional.of(new Reservation(mKey, request, tokens, number));
    }

    /**
     * Ends a reservation with what was really used, capped at what was reserved; ending it again
     * has no effect.
     */
    void settle(long number, long usedTokens) {
        long tokens = mOpenReservations.remove(number);
        if (tokens == NO_RESERVATION) {
            return;
        }
        long used = Math.max(0, Math.min(usedTokens, tokens));
        mOverrun += Math.max(0, usedTokens - tokens);
        mReserved -= tokens;
        mFree += tokens - used;
        addSpending(used);
        withholdFree();
    }

    private void addSpending(long used) {
        long covered = Math.min(used, mTokensToWithhold);
        mTokensToWithhold -= covered;
        long netted = Math.min(used - covered, mUnnettedRefund);
        mUnnettedRefund -= netted;
        mFree += netted;
        mSpent += used - covered - netted;
    }

    /** Takes settled tokens back as unspent; what was already reported elsewhere nets later. */
    void refund(long tokens) {
        long now = Math.min(tokens, mSpent);
        mSpent -= now;
        mFree += now;
        mUnnettedRefund += tokens - now;
    }

    /** Subtracts free tokens that the next write returns. */
    void giveBack(long tokens) {
        long given = Math.max(0, Math.min(tokens, mFree));
        mFree -= given;
        mReturned += given;
    }

    /** Returns whether the record lacks anything that this VM should report. */
    boolean hasUnreportedChanges(HolderRecord recorded) {
        return recorded.spent() != mSpent
                || recorded.returned() != mReturned
                || !mForeignCharges.isEmpty()
                || !mTransferringCharges.isEmpty();
    }

    /** Returns what the record does not yet say to be spent. */
    long unreportedSpent(HolderRecord recorded) {
        return mSpent - recorded.spent();
    }

    /** Returns whether tokens are subtracted here that the record does not yet say are returned. */
    boolean hasUnreportedReturns() {
        return mReturned != mReturnedInRecord;
    }

    /**
     * Takes over what the record says: grants, the end of an adoption, or that this holder was
     * closed while its VM still ran.
     */
    void applyRecord(BudgetRecord record) {
        HolderRecord entry = record.holders().get(mHolder);
        if (entry == null) {
            if (mRegistered) {
                openNextGeneration();
            }
            mLastWriteUnknown = false;
            return;
        }
        mRegistered = true;
        mLastWriteUnknown = false;
        mReturnedInRecord = entry.returned();
        mSpentInRecord = entry.spent();
        mFree += entry.granted() - mGranted;
        mGranted = entry.granted();
        if (!mTransferringCharges.isEmpty() && entry.movedIn() != mMovedIn) {
            mMovedIn = entry.movedIn();
            mTransferringCharges.clear();
        }
    }

    /** Returns whether the platform may hold an entry, or a newer one than was seen. */
    boolean mayHaveEntry() {
        return mRegistered || mLastWriteUnknown;
    }

    /** Notes that a write with this holding's entry may take effect, now or late. */
    void onWriteOutcomeUnknown() {
        mReturnedInUnknownWrite = mReturned;
        mLastWriteUnknown = true;
        mAnyWriteUnknown = true;
    }

    /**
     * Goes on as a new holder. All that the closed entry drew counts as spent in the record, and
     * this VM alone may spend it: so it is kept, and charged to the closed entry until adopted.
     */
    private void openNextGeneration() {
        mFree += mReturned - Math.max(mReturnedInRecord, mReturnedInUnknownWrite);
        HolderId closed = mHolder;
        if (!mLastWriteUnknown) {
            mTransferringCharges.forEach(
                    (from, tokens) -> mForeignCharges.merge(from, tokens, Long::sum));
        }
        mTransferringCharges.clear();
        carryUnreportedSpending();
        long charged = mFree + mReserved + mSpent - foreignCharge();
        if (charged > 0) {
            mForeignCharges.merge(closed, charged, Long::sum);
        }
        mHolder = closed.next();
        mRegistered = false;
        mGranted = 0;
        mReturned = 0;
        mReturnedInRecord = 0;
        mReturnedInUnknownWrite = 0;
        mLastWriteUnknown = false;
        mAnyWriteUnknown = false;
        mSpentInRecord = 0;
        mMaxSpentWritten = 0;
        mSpentInLastWrite = 0;
        mMovedIn = 0;
    }

    /**
     * Keeps what the closed entry does not say to be spent. Where it may or may not hold the last
     * write, the larger figure is taken, and tokens refunded since are set aside until they net
     * with later spending: so they are never counted as settled and given back as well.
     */
    private void carryUnreportedSpending() {
        if (!mAnyWriteUnknown) {
            mSpent -= mSpentInRecord;
            return;
        }
        mSpent -= mMaxSpentWritten;
        if (mSpent < 0) {
            mTokensToWithhold -= mSpent;
            mSpent = 0;
            withholdFree();
        }
    }

    /** Takes free tokens out of use, up to what is to be held back. */
    private void withholdFree() {
        long aside = Math.min(mFree, mTokensToWithhold);
        mFree -= aside;
        mTokensToWithhold -= aside;
        mUnnettedRefund += aside;
    }

    /**
     * Notes that the last write took effect as it was planned: earlier ones of unknown effect
     * expected an older version, so they can't take effect any more.
     */
    void onWritten() {
        mLastWriteUnknown = false;
        mAnyWriteUnknown = false;
        mSpentInRecord = mSpentInLastWrite;
        mMaxSpentWritten = mSpentInLastWrite;
        mReturnedInRecord = mReturned;
        mMovedIn += transferringTotal();
        mTransferringCharges.clear();
    }

    /**
     * Returns this holder's entry for the next write.
     *
     * <p>The first entry carries a grant only: if its reply is lost and the entry is closed before
     * it is read, writing it again must not repeat a return.
     */
    HolderRecord nextEntry(Optional<HolderRecord> recorded, long draw) {
        if (recorded.isEmpty()) {
            return new HolderRecord(draw, 0, 0, 0, 0, 0, 0, 0);
        }
        HolderRecord now = recorded.get();
        mSpentInLastWrite = mSpent;
        mMaxSpentWritten = Math.max(mMaxSpentWritten, mSpent);
        return new HolderRecord(
                now.granted() + draw,
                mReturned,
                mSpent,
                mMovedIn + transferringTotal(),
                now.movedOut(),
                mReserved,
                mFree + draw,
                0);
    }

    /**
     * Fixes which foreign charges the next write takes over, and returns those that the record seen
     * does not yet hold; the set stays the same until the record shows it.
     */
    Map<HolderId, Long> transferCharges(HolderRecord recorded) {
        if (recorded.movedIn() != mMovedIn) {
            return Map.of();
        }
        if (mTransferringCharges.isEmpty()) {
            mTransferringCharges.putAll(mForeignCharges);
            mForeignCharges.clear();
        }
        return Map.copyOf(mTransferringCharges);
    }

    private long transferringTotal() {
        return mTransferringCharges.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Subtracts tokens to move to another VM: free ones and, where this VM has no entry of its own,
     * spent ones with them.
     *
     * @param preferred the charge that the receiver would like best
     */
    Optional<MovedTokens> takeForMove(HolderId preferred, long free, long spent) {
        if (mRegistered) {
            long given = Math.max(0, Math.min(free, mFree - unreportedRefunds()));
            mFree -= given;
            return given == 0 ? Optional.empty() : Optional.of(new MovedTokens(mHolder, given, 0));
        }
        Optional<HolderId> charge = chargeToMove(preferred);
        if (charge.isEmpty()) {
            return Optional.empty();
        }
        long charged = mForeignCharges.get(charge.get());
        long givenFree = Math.max(0, Math.min(charged, Math.min(free, mFree)));
        long givenSpent = Math.max(0, Math.min(charged - givenFree, Math.min(spent, mSpent)));
        if (givenFree + givenSpent == 0) {
            return Optional.empty();
        }
        mFree -= givenFree;
        mSpent -= givenSpent;
        mForeignCharges.merge(charge.get(), -givenFree - givenSpent, Holding::sumOrNull);
        return Optional.of(new MovedTokens(charge.get(), givenFree, givenSpent));
    }

    /**
     * Returns refunded tokens that the record may still say to be spent. They stay here until a
     * write is known to have lowered that figure: if the entry is closed first, nobody else may
     * spend or return what it counts as settled.
     */
    private long unreportedRefunds() {
        return Math.max(0, Math.max(mSpentInRecord, mMaxSpentWritten) - mSpent);
    }

    /** Adds what another VM moved here. */
    void addMoved(MovedTokens moved) {
        mFree += moved.free();
        mSpent += moved.spent();
        if (!moved.charge().equals(mHolder)) {
            mForeignCharges.merge(moved.charge(), moved.free() + moved.spent(), Long::sum);
        }
    }

    private Optional<HolderId> chargeToMove(HolderId preferred) {
        if (mForeignCharges.containsKey(preferred)) {
            return Optional.of(preferred);
        }
        return mForeignCharges.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    private static Long sumOrNull(Long before, Long added) {
        long sum = before + added;
        return sum == 0 ? null : sum;
    }

    private long foreignCharge() {
        return mForeignCharges.values().stream().mapToLong(Long::longValue).sum();
    }
}
