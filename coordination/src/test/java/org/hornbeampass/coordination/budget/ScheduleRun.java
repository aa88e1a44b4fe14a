package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.Reservation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs a schedule and independently counts the tokens spent, to compare them with the record.
 *
 * <p>Not thread-safe.
 */
final class ScheduleRun {
    private static final int MAX_ROUTERS = 7;
    private static final long REFUSAL_WINDOW_MS = 2_600;
    private static final long HISTORY_MS = 10_000;
    private static final long ANSWER_TOLERANCE_MS = 200;

    private final BudgetSimulation mSimulation;
    private final List<List<Reservation>> mOpenReservations = new ArrayList<>();
    private final List<Long> mSettledByRouter = new ArrayList<>();
    private final Map<String, Long> mTopUpsAsked = new HashMap<>();
    private final Set<String> mTopUpsDone = new HashSet<>();
    private final Deque<Spendable> mSpendable = new ArrayDeque<>();
    private final List<String> mWrongRefusals = new ArrayList<>();
    private long mSpent;
    private long mEndedOnCrashed;
    private long mRefunded;
    private long mRequestCount;
    private final Map<RequestId, WaitingRequest> mWaitingRequests = new HashMap<>();
    private boolean mPaidWasSet;
    private boolean mLossPossible;

    /** The total number of tokens that the record allowed to be spent at one time. */
    private record Spendable(long atMs, long tokens) {}

    /** A request without an outcome yet. */
    private record WaitingRequest(int vm, long untilMs) {}

    ScheduleRun(int homes, BudgetMutant mutant, long seed) {
        mSimulation = new BudgetSimulation(3, GrantPolicy.DEMAND_HORIZON, homes, mutant, seed);
        mSimulation.onWrite(this::recordSpendable);
    }

    BudgetSimulation simulation() {
        return mSimulation;
    }

    /**
     * Runs steps and checks all invariants after each; returns the invariants violated first, or
     * those violated at the end.
     */
    List<BudgetInvariant> run(List<ScheduleStep> steps) {
        for (ScheduleStep step : steps) {
            step.kind().run(this, step.vm(), step.amount());
            recordSpendable();
            List<BudgetInvariant> broken = BudgetInvariant.findBroken(this, false);
            if (!broken.isEmpty()) {
                return broken;
            }
        }
        endSchedule();
        return BudgetInvariant.findBroken(this, true);
    }

    /** Returns the counters, for the message of a failed check. */
    @Override
    public String toString() {
        return "spent "
                + mSpent
                + ", held "
                + heldTokens()
                + ", "
                + record()
                + ", top-ups from "
                + tokensOfCompletedTopUps()
                + " to "
                + tokensOfAllTopUps()
                + ", overdue "
                + overdueRequests()
                + ", refusals "
                + mWrongRefusals;
    }

    private void recordSpendable() {
        BudgetRecord record = record();
        mSpendable.addLast(new Spendable(mSimulation.nowMs(), record.paid() - record.writtenOff()));
        while (mSpendable.size() > 1
                && mSpendable.peekFirst().atMs() < mSimulation.nowMs() - HISTORY_MS) {
            mSpendable.removeFirst();
        }
    }

    /** Removes all faults, settles all open reservations and hands over all budgets. */
    private void endSchedule() {
        for (int i = 0; i < mSimulation.size(); i++) {
            BudgetSimulation.SimulatedRouter router = mSimulation.router(i);
            router.mCutFromPlatform = false;
            router.mCutFromPeers = false;
            router.mDropNextReply = false;
            router.mNextFault = BudgetSimulation.PlatformFault.NONE;
            mSimulation.resume(i);
        }
        mSimulation.run(20_000);
        for (int i = 0; i < mSimulation.size(); i++) {
            while (i < mOpenReservations.size() && !mOpenReservations.get(i).isEmpty()) {
                settleOn(i, 0, 500);
            }
        }
        for (int i = 0; i < mSimulation.size(); i++) {
            if (!mSimulation.router(i).mCrashed) {
                mSimulation.ledger(i).handOver(mSimulation.nowMs(), at -> {});
            }
        }
        mSimulation.run(60_000);
    }

    BudgetRecord record() {
        return mSimulation.record().budget(BudgetSimulation.KEY.budget());
    }

    int index(int vm) {
        return vm % mSimulation.size();
    }

    BudgetSimulation.SimulatedRouter router(int vm) {
        return mSimulation.router(index(vm));
    }

    private List<Reservation> openReservations(int index) {
        while (mOpenReservations.size() <= index) {
            mOpenReservations.add(new ArrayList<>());
            mSettledByRouter.add(0L);
        }
        return mOpenReservations.get(index);
    }

    void reserve(int vm, long tokens, long waitMs) {
        int index = index(vm);
        BudgetSimulation.SimulatedRouter router = mSimulation.router(index);
        if (router.mCrashed || router.mPaused) {
            return;
        }
        mRequestCount++;
        openReservations(index);
        RequestId id = new RequestId("r" + mRequestCount);
        mWaitingRequests.put(
                id, new WaitingRequest(index, mSimulation.nowMs() + waitMs + ANSWER_TOLERANCE_MS));
        router.mLedger.reserve(
                mSimulation.nowMs(),
                BudgetSimulation.KEY,
                id,
                tokens,
                waitMs,
                (at, outcome) -> {
                    mWaitingRequests.remove(id);
                    outcome.peek(r -> openReservations(index).add(r));
                    outcome.peekLeft(f -> checkRefusal(tokens, f));
                });
    }

    /**
     * Checks that a refusal as exhausted was justified. Refunded tokens count as not left, because
     * other VMs see a refund only after it is reported.
     */
    private void checkRefusal(long tokens, Failure failure) {
        if (failure.kind() != ErrorKind.BUDGET_EXHAUSTED) {
            return;
        }
        recordSpendable();
        long minSpendable =
                mSpendable.stream()
                        .filter(s -> s.atMs() >= mSimulation.nowMs() - REFUSAL_WINDOW_MS)
                        .mapToLong(Spendable::tokens)
                        .min()
                        .orElse(0);
        long left = minSpendable - mSpent - mRefunded;
        if (left >= tokens) {
            mWrongRefusals.add(tokens + " refused as exhausted with " + left + " left");
        }
    }

    void settle(int vm, int amount) {
        int index = index(vm);
        List<Reservation> open = openReservations(index);
        if (open.isEmpty()
                || mSimulation.router(index).mCrashed
                || mSimulation.router(index).mPaused) {
            return;
        }
        settleOn(index, amount % open.size(), amount);
    }

    private void settleOn(int index, int which, int amount) {
        Reservation reservation = mOpenReservations.get(index).remove(which);
        long used = reservation.tokens() * amount / 900;
        if (mSimulation.router(index).mCrashed) {
            mSpent += Math.min(used, reservation.tokens());
            mEndedOnCrashed += reservation.tokens();
            return;
        }
        mSimulation.ledger(index).settle(mSimulation.nowMs(), reservation, used);
        mSpent += Math.min(used, reservation.tokens());
        mSettledByRouter.set(
                index, mSettledByRouter.get(index) + Math.min(used, reservation.tokens()));
    }

    void refund(int vm, long tokens) {
        int index = index(vm);
        openReservations(index);
        BudgetSimulation.SimulatedRouter router = mSimulation.router(index);
        long refundable = Math.min(tokens, mSettledByRouter.get(index));
        if (router.mCrashed || router.mPaused || refundable == 0) {
            return;
        }
        router.mLedger.refund(mSimulation.nowMs(), BudgetSimulation.KEY, refundable);
        mSettledByRouter.set(index, mSettledByRouter.get(index) - refundable);
        mSpent -= refundable;
        mRefunded += refundable;
        mLossPossible = true;
    }

    void topUp(String id, long tokens) {
        mTopUpsAsked.put(id, tokens);
        mSimulation
                .admin()
                .topUp(
                        mSimulation.nowMs(),
                        BudgetSimulation.KEY,
                        id,
                        tokens,
                        (at, r) -> r.peek(s -> mTopUpsDone.add(id)));
    }

    void setPaid(long tokens) {
        mPaidWasSet = true;
        mSimulation
                .admin()
                .setPaid(mSimulation.nowMs(), BudgetSimulation.KEY, tokens, (at, r) -> {});
    }

    /** Stops a VM's process, which loses its tokens, and optionally starts its next incarnation. */
    void crash(int vm, boolean restart) {
        int index = index(vm);
        BudgetSimulation.SimulatedRouter router = mSimulation.router(index);
        if (router.mCrashed || mSimulation.size() >= MAX_ROUTERS) {
            return;
        }
        mSimulation.crash(index);
        mLossPossible = true;
        if (restart) {
            mSimulation.start(router.mId.name(), router.mId.incarnation() + 1 + mSimulation.size());
        }
    }

    /** Declares a VM gone on all other VMs, although it may be only paused or even running. */
    void declareGone(int vm) {
        int gone = index(vm);
        mLossPossible = true;
        for (int i = 0; i < mSimulation.size(); i++) {
            int other = i;
            if (other != gone) {
                mSimulation.runOn(
                        other,
                        () ->
                                mSimulation
                                        .ledger(other)
                                        .onVmGone(
                                                mSimulation.nowMs(), mSimulation.router(gone).mId));
            }
        }
    }

    void handOver(int vm) {
        int index = index(vm);
        mSimulation.runOn(
                index, () -> mSimulation.ledger(index).handOver(mSimulation.nowMs(), at -> {}));
    }

    long spentTokens() {
        return mSpent;
    }

    /**
     * Returns the tokens that all VMs, including crashed and paused ones, hold by their own count.
     */
    long heldTokens() {
        long sum = -mEndedOnCrashed;
        for (int i = 0; i < mSimulation.size(); i++) {
            HoldingView view = mSimulation.ledger(i).view(BudgetSimulation.KEY).orElse(null);
            sum += view == null ? 0 : view.free() + view.reserved();
        }
        return sum;
    }

    List<String> wrongRefusals() {
        return mWrongRefusals;
    }

    /** Returns the number of requests without an outcome whose wait is over. */
    long overdueRequests() {
        return mWaitingRequests.values().stream()
                .filter(w -> w.untilMs() < mSimulation.nowMs())
                .filter(
                        w ->
                                !mSimulation.router(w.vm()).mPaused
                                        && !mSimulation.router(w.vm()).mCrashed)
                .count();
    }

    boolean paidWasSet() {
        return mPaidWasSet;
    }

    /** Returns whether tokens may have been written off, or refunds may still have to be netted. */
    boolean lossPossible() {
        return mLossPossible;
    }

    long tokensOfCompletedTopUps() {
        return mTopUpsDone.stream().mapToLong(mTopUpsAsked::get).sum();
    }

    long tokensOfAllTopUps() {
        return mTopUpsAsked.values().stream().mapToLong(Long::longValue).sum();
    }
}
