package org.hornbeampass.router.serve;

import io.vavr.control.Either;

import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.router.flow.Bill;
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
 * Binds one request's flow to the VM's request ledger, for its bill.
 *
 * <p>Invariant: the flow is answered exactly once, at the bound at the latest; what is settled
 * beyond a charge that is known only after that is refunded. Thread-safe.
 */
final class LedgerBill implements BillPort {
    private static final long BACKLOG_RETRY_MS = 5_000;

    private final RequestLedger mLedger;
    private final RequestKey mKey;
    private final BudgetId mBudget;
    private final AttemptId mAttempt;
    private final long mAdmittedMs;
    private final Wait mWait;

    /**
     * How long a bill is waited for, and who is told of what comes later.
     *
     * @param timers bounds the wait
     * @param boundMs the bound in milliseconds
     * @param onLateRefund takes the time and how many tokens were settled too many, where the
     *     charge came after the bound
     */
    record Wait(TimerPort timers, long boundMs, BiConsumer<Long, Long> onLateRefund) {}

    LedgerBill(
            RequestLedger ledger,
            RequestKey key,
            BudgetId budget,
            AttemptId attempt,
            long admittedMs,
            Wait wait) {
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
                            "too many bills wait for the platform; retry later or elsewhere",
                            BACKLOG_RETRY_MS));
        }
        return mLedger.rejectionReason(nowMs, mKey);
    }

    @Override
    public void bill(long nowMs, Bill bill, BiConsumer<Long, Charge> done) {
        AtomicBoolean answered = new AtomicBoolean();
        Runnable timer =
                mWait.timers()
                        .at(
                                nowMs,
                                nowMs + mWait.boundMs(),
                                t -> {
                                    if (answered.compareAndSet(false, true)) {
                                        done.accept(t, Charge.whole(BillResult.QUEUED, bill));
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

    private static Charge charge(Bill bill, Either<Failure, BillCharge> decided) {
        if (decided.isLeft()) {
            return Charge.whole(BillResult.QUEUED, bill);
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
