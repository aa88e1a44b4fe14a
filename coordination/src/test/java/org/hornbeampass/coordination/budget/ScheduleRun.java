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
 * Runs a schedule and keeps accounts of its own of what was really spent.
 *
 * <p>Not thread-safe.
 */
final class ScheduleRun {
    private static final int MAX_NODES = 7;
    private static final long FRESH_MS = 2_600;
    private static final long KEEP_MS = 10_000;
    private static final long SLACK_MS = 200;

    private final BudgetSimulation mWorld;
    private final List<List<Reservation>> mOpen = new ArrayList<>();
    private final List<Long> mSettledAt = new ArrayList<>();
    private final Map<String, Long> mAsked = new HashMap<>();
    private final Set<String> mTopUpsDone = new HashSet<>();
    private final Deque<Spendable> mSpendable = new ArrayDeque<>();
    private final List<String> mWrongRefusals = new ArrayList<>();
    private long mSpent;
    private long mEndedOnDead;
    private long mRefunded;
    private long mAskedRequests;
    private final Map<RequestId, Waiting> mWaiting = new HashMap<>();
    private boolean mPaidWasSet;
    private boolean mLossPossible;

    /** What could be spent in all by the record of a moment. */
    private record Spendable(long atMs, long tokens) {}

    /** A request that has no answer yet. */
    private record Waiting(int vm, long untilMs) {}

    ScheduleRun(int homes, BudgetMutant mutant, long seed) {
        mWorld = new BudgetSimulation(3, GrantPolicy.DEMAND_HORIZON, homes, mutant, seed);
        mWorld.onWrite(this::note);
    }

    BudgetSimulation world() {
        return mWorld;
    }

    /** Runs steps and checks all invariants after each; returns those broken first. */
    List<BudgetInvariant> run(List<ScheduleStep> steps) {
        for (ScheduleStep step : steps) {
            step.kind().run(this, step.vm(), step.amount());
            note();
            List<BudgetInvariant> broken = BudgetInvariant.broken(this, false);
            if (!broken.isEmpty()) {
                return broken;
            }
        }
        end();
        return BudgetInvariant.broken(this, true);
    }

    /** Returns the figures, for a failed check. */
    @Override
    public String toString() {
        return "spent "
                + mSpent
                + ", held "
                + held()
                + ", "
                + record()
                + ", top-ups from "
                + topUpsDone()
                + " to "
                + topUpsAsked()
                + ", overdue "
                + overdue()
                + ", refusals "
                + mWrongRefusals;
    }

    private void note() {
        BudgetRecord record = record();
        mSpendable.addLast(new Spendable(mWorld.nowMs(), record.paid() - record.writtenOff()));
        while (mSpendable.size() > 1 && mSpendable.peekFirst().atMs() < mWorld.nowMs() - KEEP_MS) {
            mSpendable.removeFirst();
        }
    }

    /** Heals everything, ends all requests and hands all over. */
    private void end() {
        for (int i = 0; i < mWorld.size(); i++) {
            BudgetSimulation.SimulatedRouter node = mWorld.node(i);
            node.mCutFromPlatform = false;
            node.mCutFromPeers = false;
            node.mDropNextReply = false;
            node.mFault = BudgetSimulation.PlatformFault.NONE;
            mWorld.wake(i);
        }
        mWorld.run(20_000);
        for (int i = 0; i < mWorld.size(); i++) {
            while (i < mOpen.size() && !mOpen.get(i).isEmpty()) {
                settleOn(i, 0, 500);
            }
        }
        for (int i = 0; i < mWorld.size(); i++) {
            if (!mWorld.node(i).mDead) {
                mWorld.ledger(i).handOver(mWorld.nowMs(), at -> {});
            }
        }
        mWorld.run(60_000);
    }

    BudgetRecord record() {
        return mWorld.record().budget(BudgetSimulation.KEY.budget());
    }

    int index(int vm) {
        return vm % mWorld.size();
    }

    BudgetSimulation.SimulatedRouter node(int vm) {
        return mWorld.node(index(vm));
    }

    private List<Reservation> open(int index) {
        while (mOpen.size() <= index) {
            mOpen.add(new ArrayList<>());
            mSettledAt.add(0L);
        }
        return mOpen.get(index);
    }

    void reserve(int vm, long tokens, long waitMs) {
        int index = index(vm);
        BudgetSimulation.SimulatedRouter node = mWorld.node(index);
        if (node.mDead || node.mPaused) {
            return;
        }
        mAskedRequests++;
        open(index);
        RequestId id = new RequestId("r" + mAskedRequests);
        mWaiting.put(id, new Waiting(index, mWorld.nowMs() + waitMs + SLACK_MS));
        node.mLedger.reserve(
                mWorld.nowMs(),
                BudgetSimulation.KEY,
                id,
                tokens,
                waitMs,
                (at, outcome) -> {
                    mWaiting.remove(id);
                    outcome.peek(r -> open(index).add(r));
                    outcome.peekLeft(f -> checkRefusal(tokens, f));
                });
    }

    /**
     * Checks a refusal; a refund is known elsewhere only once it is reported, so it is left out.
     */
    private void checkRefusal(long tokens, Failure failure) {
        if (failure.kind() != ErrorKind.BUDGET_EXHAUSTED) {
            return;
        }
        note();
        long least =
                mSpendable.stream()
                        .filter(s -> s.atMs() >= mWorld.nowMs() - FRESH_MS)
                        .mapToLong(Spendable::tokens)
                        .min()
                        .orElse(0);
        long left = least - mSpent - mRefunded;
        if (left >= tokens) {
            mWrongRefusals.add(tokens + " refused as exhausted with " + left + " left");
        }
    }

    void settle(int vm, int amount) {
        int index = index(vm);
        List<Reservation> open = open(index);
        if (open.isEmpty() || mWorld.node(index).mDead || mWorld.node(index).mPaused) {
            return;
        }
        settleOn(index, amount % open.size(), amount);
    }

    private void settleOn(int index, int which, int amount) {
        Reservation made = mOpen.get(index).remove(which);
        long used = made.tokens() * amount / 900;
        if (mWorld.node(index).mDead) {
            mSpent += Math.min(used, made.tokens());
            mEndedOnDead += made.tokens();
            return;
        }
        mWorld.ledger(index).settle(mWorld.nowMs(), made, used);
        mSpent += Math.min(used, made.tokens());
        mSettledAt.set(index, mSettledAt.get(index) + Math.min(used, made.tokens()));
    }

    void refund(int vm, long tokens) {
        int index = index(vm);
        open(index);
        BudgetSimulation.SimulatedRouter node = mWorld.node(index);
        long most = Math.min(tokens, mSettledAt.get(index));
        if (node.mDead || node.mPaused || most == 0) {
            return;
        }
        node.mLedger.refund(mWorld.nowMs(), BudgetSimulation.KEY, most);
        mSettledAt.set(index, mSettledAt.get(index) - most);
        mSpent -= most;
        mRefunded += most;
        mLossPossible = true;
    }

    void topUp(String id, long tokens) {
        mAsked.put(id, tokens);
        mWorld.accounts()
                .topUp(
                        mWorld.nowMs(),
                        BudgetSimulation.KEY,
                        id,
                        tokens,
                        (at, r) -> r.peek(s -> mTopUpsDone.add(id)));
    }

    void setPaid(long tokens) {
        mPaidWasSet = true;
        mWorld.accounts().setPaid(mWorld.nowMs(), BudgetSimulation.KEY, tokens, (at, r) -> {});
    }

    /** Stops a process with all it holds; another incarnation may start. */
    void die(int vm, boolean restart) {
        int index = index(vm);
        BudgetSimulation.SimulatedRouter node = mWorld.node(index);
        if (node.mDead || mWorld.size() >= MAX_NODES) {
            return;
        }
        mWorld.die(index);
        mLossPossible = true;
        if (restart) {
            mWorld.start(node.mId.name(), node.mId.incarnation() + 1 + mWorld.size());
        }
    }

    /** Tells all others that a VM is gone, though it may only be paused, or be well. */
    void declareGone(int vm) {
        int gone = index(vm);
        mLossPossible = true;
        for (int i = 0; i < mWorld.size(); i++) {
            int other = i;
            if (other != gone) {
                mWorld.at(
                        other,
                        () -> mWorld.ledger(other).onVmGone(mWorld.nowMs(), mWorld.node(gone).mId));
            }
        }
    }

    void handOver(int vm) {
        int index = index(vm);
        mWorld.at(index, () -> mWorld.ledger(index).handOver(mWorld.nowMs(), at -> {}));
    }

    long spent() {
        return mSpent;
    }

    /** Returns what all processes, dead and paused ones too, hold by their own books. */
    long held() {
        long sum = -mEndedOnDead;
        for (int i = 0; i < mWorld.size(); i++) {
            HoldingView view = mWorld.ledger(i).view(BudgetSimulation.KEY).orElse(null);
            sum += view == null ? 0 : view.free() + view.reserved();
        }
        return sum;
    }

    List<String> wrongRefusals() {
        return mWrongRefusals;
    }

    /** Returns the number of requests whose wait is over and that have no answer. */
    long overdue() {
        return mWaiting.values().stream()
                .filter(w -> w.untilMs() < mWorld.nowMs())
                .filter(w -> !mWorld.node(w.vm()).mPaused && !mWorld.node(w.vm()).mDead)
                .count();
    }

    boolean paidWasSet() {
        return mPaidWasSet;
    }

    /** Returns whether tokens may end as written off, or refunds may be left to net. */
    boolean lossPossible() {
        return mLossPossible;
    }

    long topUpsDone() {
        return mTopUpsDone.stream().mapToLong(mAsked::get).sum();
    }

    long topUpsAsked() {
        return mAsked.values().stream().mapToLong(Long::longValue).sum();
    }
}
