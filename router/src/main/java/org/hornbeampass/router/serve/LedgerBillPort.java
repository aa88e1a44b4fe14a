package org.hornbeampass.router.serve;

import io.vavr.control.Either;

import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.router.flow.BillAmount;
import org.hornbeampass.router.flow.BillPort;
import org.hornbeampass.router.flow.BillResult;
import org.hornbeampass.router.flow.Charge;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.BillCharge;
import org.hornbeampass.state.requests.RequestKey;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;

/**
 * Bills one request in the VM's request ledger.
 *
 * <p>Invariant: the flow receives exactly one reply, at the latest when the wait times out. If the
 * charge becomes known only after that, the tokens settled beyond it are refunded. Thread-safe.
 */
final class LedgerBillPort implements BillPort {
    private static final long BACKLOG_RETRY_MS = 5_000;

    private final RequestLedger mLedger;
    private final RequestKey mKey;
    private final BudgetId mBudget;
    private final AttemptId mAttempt;
    private final long mAdmittedMs;
    private final DurabilityWait mWait;

    /**
     * How long to wait for a bill to become durable, and how to refund tokens after that.
     *
     * @param timers runs the timer that ends the wait
     * @param boundMs the longest wait in milliseconds
     * @param onLateRefund called with the time and the number of excess tokens that were settled,
     *     if the charge becomes known after the wait has timed out
     */
    record DurabilityWait(TimerPort timers, long boundMs, BiConsumer<Long, Long> onLateRefund) {}

    LedgerBillPort(
            RequestLedger ledger,
            RequestKey key,
            BudgetId budget,
            AttemptId attempt,
            long admittedMs,
            DurabilityWait wait) {
        mLedger = ledger;
        mKey = key;
        mBudget = budget;
        mAttempt = attempt;
        mAdmittedMs = admittedMs;
        mWait = wait;
    }

    @Override
    public Optional<Failure> refusal(long nowMs) {
        if (mLedger.isBacklogFull()) {
            return Optional.of(
                    Failure.retryAfter(
                            ErrorKind.BILLING_BACKLOG,
                            "too many bills await the platform; retry later or on another router",
                            BACKLOG_RETRY_MS));
        }
        return mLedger.rejectionReason(nowMs, mKey);
    }

    @Override
    public void bill(long nowMs, BillAmount bill, BiConsumer<Long, Charge> done) {
        AtomicBoolean answered = new AtomicBoolean();
        Runnable timer =
                mWait.timers()
                        .schedule(
                                nowMs,
                                nowMs + mWait.boundMs(),
                                t -> {
                                    if (answered.compareAndSet(false, true)) {
                                        done.accept(t, Charge.ofFullBill(BillResult.QUEUED, bill));
                                    }
                                });
        org.hornbeampass.state.requests.Bill entry =
                new org.hornbeampass.state.requests.Bill(
                        mKey,
                        mBudget,
                        mAttempt,
                        bill.promptTokens(),
                        bill.completionTokens(),
                        mAdmittedMs);
        mLedger.bill(
                nowMs,
                entry,
                (t, outcome) -> {
                    timer.run();
                    Charge charge = charge(bill, outcome);
                    if (answered.compareAndSet(false, true)) {
                        done.accept(t, charge);
                    } else if (charge.tokens() < bill.totalTokens()) {
                        mWait.onLateRefund().accept(t, bill.totalTokens() - charge.tokens());
                    }
                });
    }

    private static Charge charge(BillAmount bill, Either<Failure, BillCharge> decided) {
        if (decided.isLeft()) {
            return Charge.ofFullBill(BillResult.QUEUED, bill);
        }
        BillResult result =
                switch (decided.get().outcome()) {
                    case BILLED -> BillResult.FIRST;
                    case RAISED -> BillResult.RAISED;
                    case DUPLICATE -> BillResult.DUPLICATE;
                };
        return new Charge(result, decided.get().tokens());
    }
}
