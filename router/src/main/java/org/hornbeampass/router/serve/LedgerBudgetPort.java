package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.router.flow.BudgetPort;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.Reservation;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

/**
 * Reserves and settles one request's tokens in the VM's budget ledger.
 *
 * <p>Not thread-safe, except that the ledger's reply to a reservation may arrive on any thread (the
 * flow calls no other method before it) and {@link #refundLate} may be called on any thread.
 */
final class LedgerBudgetPort implements BudgetPort {
    private final BudgetLedger mLedger;
    private final BudgetKey mKey;
    private final RequestId mId;
    private final long mWaitMs;
    private final AtomicReference<SettlementState> mSettlement =
            new AtomicReference<>(SettlementState.OPEN);
    private volatile Reservation mReservation;

    /** Which happened first: settling, or a late refund requested by another thread. */
    private enum SettlementState {
        OPEN,
        SETTLED,
        REFUNDED
    }

    /**
     * Creates the port of one request.
     *
     * @param waitMs how long the request may wait for a grant, in milliseconds
     */
    LedgerBudgetPort(BudgetLedger ledger, BudgetKey key, RequestId id, long waitMs) {
        mLedger = ledger;
        mKey = key;
        mId = id;
        mWaitMs = waitMs;
    }

    @Override
    public void reserve(long nowMs, long tokens, BiConsumer<Long, Optional<Failure>> done) {
        mLedger.reserve(
                nowMs,
                mKey,
                mId,
                tokens,
                mWaitMs,
                (t, reserved) -> {
                    reserved.forEach(r -> mReservation = r);
                    done.accept(
                            t,
                            reserved.isLeft() ? Optional.of(reserved.getLeft()) : Optional.empty());
                });
    }

    @Override
    public void settle(long nowMs, long tokens) {
        mLedger.settle(nowMs, mReservation, tokens);
        if (!mSettlement.compareAndSet(SettlementState.OPEN, SettlementState.SETTLED)) {
            mLedger.refund(nowMs, mKey, tokens);
        }
    }

    /**
     * Refunds tokens that were settled, or are about to be settled, for a bill that proved to be a
     * duplicate or to raise an earlier one.
     */
    void refundLate(long nowMs, long tokens) {
        if (!mSettlement.compareAndSet(SettlementState.OPEN, SettlementState.REFUNDED)) {
            mLedger.refund(nowMs, mKey, tokens);
        }
    }

    @Override
    public void cancel(long nowMs) {
        mLedger.cancel(nowMs, mReservation);
    }
}
