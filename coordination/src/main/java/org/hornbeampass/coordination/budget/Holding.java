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
    private final Long2LongHashMap mOpen = new Long2LongHashMap(NO_RESERVATION);
    private final DemandRate mDemand = new DemandRate();
    private final TreeMap<HolderId, Long> mForeign = new TreeMap<>();
    private final TreeMap<HolderId, Long> mAdopting = new TreeMap<>();
    private HolderId mHolder;
    private boolean mRegistered;
    private long mFree;
    private long mReserved;
    private long mGranted;
    private long mReturned;
    private long mReturnedSeen;
    private long mReturnedAtRisk;
    private long mSpent;
    private long mSpentSeen;
    private long mSpentWritten;
    private long mSpentHigh;
    private long mHoldBack;
    private boolean mWriteAtRisk;
    private boolean mEverAtRisk;
    private long mMovedIn;
    private long mRefundDue;
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
        mOpen.put(number, tokens);
        return Optional.of(new Reservation(mKey, request, tokens, number));
    }

    /**
     * Ends a reservation with what was really used, capped at what was reserved; ending it again
     * has no effect.
     */
    void settle(long number, long usedTokens) {
        long tokens = mOpen.remove(number);
        if (tokens == NO_RESERVATION) {
            return;
        }
        long used = Math.max(0, Math.min(usedTokens, tokens));
        mOverrun += Math.max(0, usedTokens - tokens);
        mReserved -= tokens;
        mFree += tokens - used;
        spend(used);
        setAside();
    }

    private void spend(long used) {
        long covered = Math.min(used, mHoldBack);
        mHoldBack -= covered;
        long netted = Math.min(used - covered, mRefundDue);
        mRefundDue -= netted;
        mFree += netted;
        mSpent += used - covered - netted;
    }

    /** Takes settled tokens back as unspent; what was already reported elsewhere nets later. */
    void refund(long tokens) {
        long now = Math.min(tokens, mSpent);
        mSpent -= now;
        mFree += now;
        mRefundDue += tokens - now;
    }

    /** Subtracts free tokens that the next write returns. */
    void giveBack(long tokens) {
        long given = Math.max(0, Math.min(tokens, mFree));
        mFree -= given;
        mReturned += given;
    }

    /** Returns whether the record lacks anything that this VM should report. */
    boolean unreported(HolderRecord seen) {
        return seen.spent() != mSpent
                || seen.returned() != mReturned
                || !mForeign.isEmpty()
                || !mAdopting.isEmpty();
    }

    /** Returns what the record does not yet say to be spent. */
    long unreportedSpent(HolderRecord seen) {
        return mSpent - seen.spent();
    }

    /** Returns whether tokens are subtracted here that the record does not yet say are returned. */
    boolean returning() {
        return mReturned != mReturnedSeen;
    }

    /**
     * Takes over what the record says: grants, the end of an adoption, or that this holder was
     * closed while its VM still ran.
     */
    void see(BudgetRecord record) {
        HolderRecord entry = record.holders().get(mHolder);
        if (entry == null) {
            if (mRegistered) {
                reopen();
            }
            mWriteAtRisk = false;
            return;
        }
        mRegistered = true;
        mWriteAtRisk = false;
        mReturnedSeen = entry.returned();
        mSpentSeen = entry.spent();
        mFree += entry.granted() - mGranted;
        mGranted = entry.granted();
        if (!mAdopting.isEmpty() && entry.movedIn() != mMovedIn) {
            mMovedIn = entry.movedIn();
            mAdopting.clear();
        }
    }

    /** Returns whether the platform may hold an entry, or a newer one than was seen. */
    boolean mayHaveEntry() {
        return mRegistered || mWriteAtRisk;
    }

    /** Notes that a write with this holding's entry may take effect, now or late. */
    void noteAmbiguous() {
        mReturnedAtRisk = mReturned;
        mWriteAtRisk = true;
        mEverAtRisk = true;
    }

    /**
     * Goes on as a new holder. All that the closed entry drew counts as spent in the record, and
     * this VM alone may spend it: so it is kept, and charged to the closed entry until adopted.
     */
    private void reopen() {
        mFree += mReturned - Math.max(mReturnedSeen, mReturnedAtRisk);
        HolderId closed = mHolder;
        if (!mWriteAtRisk) {
            mAdopting.forEach((from, tokens) -> mForeign.merge(from, tokens, Long::sum));
        }
        mAdopting.clear();
        carrySpending();
        long charged = mFree + mReserved + mSpent - foreignCharge();
        if (charged > 0) {
            mForeign.merge(closed, charged, Long::sum);
        }
        mHolder = closed.next();
        mRegistered = false;
        mGranted = 0;
        mReturned = 0;
        mReturnedSeen = 0;
        mReturnedAtRisk = 0;
        mWriteAtRisk = false;
        mEverAtRisk = false;
        mSpentSeen = 0;
        mSpentHigh = 0;
        mSpentWritten = 0;
        mMovedIn = 0;
    }

    /**
     * Keeps what the closed entry does not say to be spent. Where it may or may not hold the last
     * write, the larger figure is taken, and tokens refunded since are set aside until they net
     * with later spending: so they are never counted as settled and given back as well.
     */
    private void carrySpending() {
        if (!mEverAtRisk) {
            mSpent -= mSpentSeen;
            return;
        }
        mSpent -= mSpentHigh;
        if (mSpent < 0) {
            mHoldBack -= mSpent;
            mSpent = 0;
            setAside();
        }
    }

    /** Takes free tokens out of use, up to what is to be held back. */
    private void setAside() {
        long aside = Math.min(mFree, mHoldBack);
        mFree -= aside;
        mHoldBack -= aside;
        mRefundDue += aside;
    }

    /**
     * Notes that the last write took effect as it was planned: earlier ones of unknown effect
     * expected an older version, so they can't take effect any more.
     */
    void noteWritten() {
        mWriteAtRisk = false;
        mEverAtRisk = false;
        mSpentSeen = mSpentWritten;
        mSpentHigh = mSpentWritten;
        mReturnedSeen = mReturned;
        mMovedIn += adoptingTotal();
        mAdopting.clear();
    }

    /**
     * Returns this holder's entry for the next write.
     *
     * <p>The first entry carries a grant only: if its reply is lost and the entry is closed before
     * it is read, writing it again must not repeat a return.
     */
    HolderRecord entry(Optional<HolderRecord> seen, long draw) {
        if (seen.isEmpty()) {
            return new HolderRecord(draw, 0, 0, 0, 0, 0, 0, 0);
        }
        HolderRecord now = seen.get();
        mSpentWritten = mSpent;
        mSpentHigh = Math.max(mSpentHigh, mSpent);
        return new HolderRecord(
                now.granted() + draw,
                mReturned,
                mSpent,
                mMovedIn + adoptingTotal(),
                now.movedOut(),
                mReserved,
                mFree + draw,
                0);
    }

    /**
     * Fixes which foreign charges the next write takes over, and returns those that the record seen
     * does not yet hold; the set stays the same until the record shows it.
     */
    Map<HolderId, Long> adopt(HolderRecord seen) {
        if (seen.movedIn() != mMovedIn) {
            return Map.of();
        }
        if (mAdopting.isEmpty()) {
            mAdopting.putAll(mForeign);
            mForeign.clear();
        }
        return Map.copyOf(mAdopting);
    }

    private long adoptingTotal() {
        return mAdopting.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Subtracts tokens to move to another VM: free ones and, where this VM has no entry of its own,
     * spent ones with them.
     *
     * @param preferred the charge that the receiver would like best
     */
    Optional<MovedTokens> take(HolderId preferred, long free, long spent) {
        if (mRegistered) {
            long given = Math.max(0, Math.min(free, mFree - refundedUnseen()));
            mFree -= given;
            return given == 0 ? Optional.empty() : Optional.of(new MovedTokens(mHolder, given, 0));
        }
        Optional<HolderId> charge = chargeToMove(preferred);
        if (charge.isEmpty()) {
            return Optional.empty();
        }
        long lot = mForeign.get(charge.get());
        long givenFree = Math.max(0, Math.min(lot, Math.min(free, mFree)));
        long givenSpent = Math.max(0, Math.min(lot - givenFree, Math.min(spent, mSpent)));
        if (givenFree + givenSpent == 0) {
            return Optional.empty();
        }
        mFree -= givenFree;
        mSpent -= givenSpent;
        mForeign.merge(charge.get(), -givenFree - givenSpent, Holding::sumOrNull);
        return Optional.of(new MovedTokens(charge.get(), givenFree, givenSpent));
    }

    /**
     * Returns refunded tokens that the record may still say to be spent. They stay here until a
     * write is known to have lowered that figure: if the entry is closed first, nobody else may
     * spend or return what it counts as settled.
     */
    private long refundedUnseen() {
        return Math.max(0, Math.max(mSpentSeen, mSpentHigh) - mSpent);
    }

    /** Adds what another VM moved here. */
    void put(MovedTokens parcel) {
        mFree += parcel.free();
        mSpent += parcel.spent();
        if (!parcel.charge().equals(mHolder)) {
            mForeign.merge(parcel.charge(), parcel.free() + parcel.spent(), Long::sum);
        }
    }

    private Optional<HolderId> chargeToMove(HolderId preferred) {
        if (mForeign.containsKey(preferred)) {
            return Optional.of(preferred);
        }
        return mForeign.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    private static Long sumOrNull(Long before, Long added) {
        long sum = before + added;
        return sum == 0 ? null : sum;
    }

    private long foreignCharge() {
        return mForeign.values().stream().mapToLong(Long::longValue).sum();
    }
}
