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
 * Binds one request's flow to the VM's budget ledger.
 *
 * <p>Not thread-safe, but that the ledger's reply may come on any thread: the flow calls nothing
 * else before it.
 */
final class LedgerBudgetPort implements BudgetPort {
    private final BudgetLedger mLedger;
    private final BudgetKey mKey;
    private final RequestId mId;
    private final long mWaitMs;
    private final AtomicReference<SettlementState> mSettlement =
            new AtomicReference<>(SettlementState.OPEN);
    private volatile Reservation mReservation;

    /** What happened first of settling and of a refund that came from another thread. */
    private enum SettlementState {
        OPEN,
        SETTLED,
        REFUNDED
    }

    /**
     * Binds a request.
     *
     * @param waitMs how long it may wait for a grant, in milliseconds
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

    /** Gives back what was settled, or will be, since another bill of the same request stands. */
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
