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
 * Tokens of one budget that this VM holds.
 *
 * <p>Invariants: tokens are added only by a grant in the platform's record or by a move that its
 * giver subtracted first. Tokens are subtracted before a return is written or a move is sent. So
 * only this VM can spend the tokens that it counts as held, regardless of lost messages and wrong
 * clocks. Every token that is held, or spent and not yet reported, is charged to the entry of one
 * holder in the record: this VM's own entry, or one in {@code mForeignCharges} or {@code
 * mTransferringCharges}. Not thread-safe; guarded by its organisation's lock.
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

    /** Returns the tokens that this VM drew and did not return. */
    long drawn() {
        return mGranted - mReturned;
    }

    /** Reserves tokens, or returns empty if too few are free. */
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
     * Ends a reservation with the number of tokens used, capped at the tokens reserved. Ending it
     * again has no effect.
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

    /**
     * Makes settled tokens free again. Tokens beyond those that this VM still counts as spent are
     * netted against later spending.
     */
    void refund(long tokens) {
        long refundable = Math.min(tokens, mSpent);
        mSpent -= refundable;
        mFree += refundable;
        mUnnettedRefund += tokens - refundable;
    }

    /** Subtracts free tokens, which the next write returns to the platform. */
    void giveBack(long tokens) {
        long given = Math.max(0, Math.min(tokens, mFree));
        mFree -= given;
        mReturned += given;
    }

    /**
     * Returns whether this VM has spending, returns or charges that the record does not contain
     * yet.
     */
    boolean hasUnreportedChanges(HolderRecord recorded) {
        return recorded.spent() != mSpent
                || recorded.returned() != mReturned
                || !mForeignCharges.isEmpty()
                || !mTransferringCharges.isEmpty();
    }

    /** Returns the spent tokens that the record does not contain yet; negative after a refund. */
    long unreportedSpent(HolderRecord recorded) {
        return mSpent - recorded.spent();
    }

    /**
     * Returns whether tokens were subtracted here to be returned and the record does not show the
     * return yet.
     */
    boolean hasUnreportedReturns() {
        return mReturned != mReturnedInRecord;
    }

    /**
     * Applies a record: adds its grants, completes a transfer of charges, or opens the next
     * generation if this holder's entry was closed while its VM still ran.
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

    /**
     * Returns whether the platform may hold an entry of this holder, or a newer one than the last
     * record received shows.
     */
    boolean mayHaveEntry() {
        return mRegistered || mLastWriteUnknown;
    }

    /**
     * Records that a write of this holder's entry has an unknown outcome: it may take effect now,
     * later or never.
     */
    void onWriteOutcomeUnknown() {
        mReturnedInUnknownWrite = mReturned;
        mLastWriteUnknown = true;
        mAnyWriteUnknown = true;
    }

    /**
     * Continues as the next generation of this holder. The record counts all tokens drawn by the
     * closed entry as spent, and only this VM can spend them. So they are kept, and charged to the
     * closed entry until the new entry takes over the charge.
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
     * Keeps the spending that the closed entry does not contain. If it is unknown whether the entry
     * contains the last write, the largest spending written is assumed. Tokens refunded since are
     * withheld until they are netted against later spending, so that they are never both counted as
     * settled and returned.
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

    /** Withholds free tokens from use, up to {@code mTokensToWithhold}. */
    private void withholdFree() {
        long withheld = Math.min(mFree, mTokensToWithhold);
        mFree -= withheld;
        mTokensToWithhold -= withheld;
        mUnnettedRefund += withheld;
    }

    /**
     * Records that the last write took effect as planned. Earlier writes of unknown outcome
     * expected an older version, so they can no longer take effect.
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
     * <p>The first entry contains a grant only. If its reply is lost and the entry is closed before
     * it is read, the entry is written again, which must not repeat a return.
     */
    HolderRecord nextEntry(Optional<HolderRecord> recorded, long draw) {
        if (recorded.isEmpty()) {
            return new HolderRecord(draw, 0, 0, 0, 0, 0, 0, 0);
        }
        HolderRecord current = recorded.get();
        mSpentInLastWrite = mSpent;
        mMaxSpentWritten = Math.max(mMaxSpentWritten, mSpent);
        return new HolderRecord(
                current.granted() + draw,
                mReturned,
                mSpent,
                mMovedIn + transferringTotal(),
                current.movedOut(),
                mReserved,
                mFree + draw,
                0);
    }

    /**
     * Selects the foreign charges that the next write takes over, and returns those that the last
     * record received does not show as taken over. The selection does not change until a record
     * shows it.
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
     * Subtracts tokens to move to another VM: free tokens and, if this VM has no entry of its own,
     * also spent ones.
     *
     * @param preferred the holder whose charge the receiver prefers to get
     * @return the tokens to move; empty if there are none
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
     * Returns refunded tokens that the record may still count as spent. They are not moved until a
     * write is known to have lowered the recorded spending. If the entry is closed before that, no
     * other VM may spend or return tokens that the entry counts as settled.
     */
    private long unreportedRefunds() {
        return Math.max(0, Math.max(mSpentInRecord, mMaxSpentWritten) - mSpent);
    }

    /** Adds tokens that another VM moved to this one. */
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
