package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BillCharge;
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestKey;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Runs a schedule of steps on a fleet and checks the invariants after each step.
 *
 * <p>VMs behave as routers do: a granted call runs at once; a failed claim is reported to the
 * caller as "not run". Not thread-safe: tests run on one thread.
 */
final class LedgerSchedule {
    private static final long MINUTE_MS = 60_000;
    private static final long MAX_TOKENS = 11;
    private static final long RECOVERY_MS = 3 * MINUTE_MS;

    /** The invariants. */
    enum Rule {
        ONE_BILL_PER_ID,
        FIRST_BILL_STANDS,
        SETTLED_IS_CHARGED,
        SETTLED_SUMS_TO_BILL,
        AUDIT_SUMS_TO_BILLS,
        ACKNOWLEDGED_IS_DURABLE,
        ONE_RUN_PER_CALL,
        NOT_RUN_IS_TRUE,
        RECORDED_IS_WHAT_RAN,
        ANSWERED_ONCE,
        BILLS_END,
        NOT_RUN_CAN_RUN_LATER
    }

    private final LedgerMutant mMutant;
    private final LedgerFleet mFleet;
    private final LogHistory mHistory;
    private final Map<String, VmId> mNames = new TreeMap<>();
    private final Set<Rule> mBroken = new TreeSet<>();
    private final Map<AttemptId, BillCharge> mBillReplies = new LinkedHashMap<>();
    private final Map<AttemptId, Bill> mBills = new LinkedHashMap<>();
    private final Map<AttemptId, Claim> mClaims = new LinkedHashMap<>();
    private final Map<AttemptId, Either<Failure, ClaimOutcome>> mClaimReplies =
            new LinkedHashMap<>();
    private final Map<String, List<AttemptId>> mRuns = new HashMap<>();
    private final Map<AttemptId, String> mRecordedBodies = new HashMap<>();
    private final Set<AttemptId> mGaveUp = new HashSet<>();
    private long mIncarnation = 1;

    LedgerSchedule(long seed, LedgerMutant mutant) {
        mMutant = mutant;
        mFleet = new LedgerFleet(seed, settings(), mutant::apply);
        mHistory = new LogHistory(mFleet.mPlatform.store());
        for (int i = 0; i < LedgerStep.VMS; i++) {
            String name = "vm" + i;
            mNames.put(name, mFleet.start(name, mIncarnation++));
        }
    }

    /**
     * Remembers ids for 24 minutes, longer than any schedule, in generations of 3 minutes; uses two
     * shards.
     */
    private static LedgerSettings settings() {
        LedgerSettings two = LedgerFleet.settings(2);
        return new LedgerSettings(
                2,
                new Retention(12 * MINUTE_MS, 12 * MINUTE_MS, 0, 1 << 20, 100),
                two.commit(),
                two.backlog(),
                two.claimWaitMs());
    }

    /** Runs the steps and returns the invariants that were broken. */
    Set<Rule> run(List<LedgerStep> steps) {
        for (LedgerStep step : steps) {
            run(step);
            mFleet.mTime.runFor(step.waitMs());
            check();
        }
        endFaultsAndWait();
        check();
        return mBroken;
    }

    private void run(LedgerStep step) {
        String name = "vm" + step.vm();
        String other = "vm" + step.id() % LedgerStep.VMS;
        VmId vm = mNames.get(name);
        switch (step.kind()) {
            case BILL -> bill(vm, "r" + step.id());
            case BILL_AGAIN -> billAgain(vm);
            case CLAIM -> claim(vm, "c" + step.id(), "body");
            case CLAIM_OTHER_BODY -> claim(vm, "c" + step.id(), "other");
            case RECORD -> record(vm);
            case GIVE_UP -> claimAndGiveUp(vm, "c" + step.id());
            case PAUSE -> mFleet.mVms.pause(vm);
            case RESUME -> mFleet.mVms.resume(vm);
            case RESTART -> restart(name);
            case CUT_PLATFORM -> mFleet.mPlatform.cut(vm);
            case HEAL_PLATFORM -> mFleet.mPlatform.heal(vm);
            case CUT_PEERS -> mFleet.mPeers.cut(name, other);
            case HEAL_PEERS -> mFleet.mPeers.healAll();
            case OUTAGE -> mFleet.mPlatform.setOutage(true);
            case OUTAGE_ENDS -> mFleet.mPlatform.setOutage(false);
            case LOSE -> setLossRate(0.2);
            case LOSE_NOTHING -> setLossRate(0);
            case SLOW -> mFleet.mPlatform.setLatency(1, 900);
            case FAST -> mFleet.mPlatform.setLatency(1, 3);
            case SPLIT_VIEW -> mFleet.setLiveMembers(vm, vm);
            case SAME_VIEW -> restoreView();
            default -> mFleet.mTime.runFor(1);
        }
    }

    private void setLossRate(double share) {
        mFleet.mPlatform.setLossRates(share, share);
        mFleet.mPeers.setDropRate(share);
    }

    private void restoreView() {
        VmId[] all = mNames.values().toArray(VmId[]::new);
        mNames.values().forEach(vm -> mFleet.setLiveMembers(vm, all));
    }

    private void restart(String name) {
        mFleet.kill(mNames.get(name));
        mNames.put(name, mFleet.start(name, mIncarnation++));
    }

    private void bill(VmId vm, String id) {
        AttemptId attempt = mFleet.newAttempt(vm);
        RequestKey key = LedgerFleet.key(id, "body");
        long tokens = attempt.number() * 7 % MAX_TOKENS;
        submit(new Bill(key, LedgerFleet.BUDGET, attempt, 1, tokens, mFleet.mTime.nowMs()));
    }

    /** Sends an undecided bill of the VM again, as after a lost reply. */
    private void billAgain(VmId vm) {
        mBills.values().stream()
                .filter(b -> b.attempt().vm().equals(vm) && !mBillReplies.containsKey(b.attempt()))
                .findFirst()
                .ifPresent(this::submit);
    }

    private void submit(Bill bill) {
        VmId vm = bill.attempt().vm();
        mBills.put(bill.attempt(), bill);
        mFleet.mVms.deliver(
                vm,
                atMs -> mFleet.ledger(vm).bill(atMs, bill, (t, r) -> onBillReply(bill, r.get())));
    }

    private void onBillReply(Bill bill, BillCharge decided) {
        boolean chargesFullBill =
                mMutant == LedgerMutant.RAISE_SETTLES_WHOLE
                        && decided.outcome() == BillOutcome.RAISED;
        BillCharge charge =
                chargesFullBill ? new BillCharge(decided.outcome(), bill.tokens()) : decided;
        BillCharge before = mBillReplies.put(bill.attempt(), charge);
        if (before != null && !before.equals(charge)) {
            mBroken.add(Rule.ANSWERED_ONCE);
        }
        mHistory.catchUp();
        if (!mHistory.hasBill(bill.attempt())) {
            mBroken.add(Rule.ACKNOWLEDGED_IS_DURABLE);
        }
    }

    private void claim(VmId vm, String id, String body) {
        AttemptId attempt = mFleet.newAttempt(vm);
        Claim claim = new Claim(LedgerFleet.key(id, body), attempt, mFleet.mTime.nowMs());
        mClaims.put(attempt, claim);
        mFleet.mVms.deliver(
                vm, atMs -> mFleet.ledger(vm).claim(atMs, claim, (t, r) -> onClaimReply(claim, r)));
    }

    private void onClaimReply(Claim claim, Either<Failure, ClaimOutcome> answer) {
        AttemptId attempt = claim.attempt();
        if (mClaimReplies.put(attempt, answer) != null) {
            mBroken.add(Rule.ANSWERED_ONCE);
        }
        boolean granted = answer.isRight() && answer.get().status() == ClaimOutcome.Status.GRANTED;
        boolean held = answer.isRight() && answer.get().status() == ClaimOutcome.Status.RUNNING;
        boolean mutantRuns =
                (mMutant == LedgerMutant.RUN_WITHOUT_ANSWER && answer.isLeft())
                        || (mMutant == LedgerMutant.RUN_WHEN_HELD && held);
        if (granted && mGaveUp.contains(attempt)) {
            mFleet.ledger(attempt.vm()).withdraw(mFleet.mTime.nowMs(), claim);
            return;
        }
        if (granted || mutantRuns) {
            String id = claim.key().request().value();
            mRuns.computeIfAbsent(id, i -> new ArrayList<>()).add(attempt);
        }
        mHistory.catchUp();
        if (granted && !mHistory.hasClaim(attempt)) {
            mBroken.add(Rule.ACKNOWLEDGED_IS_DURABLE);
        }
        if (answer.isRight()) {
            answer.get().recorded().ifPresent(o -> checkRecorded(claim, o));
        }
    }

    private void checkRecorded(Claim claim, CallOutcome outcome) {
        List<AttemptId> runs = mRuns.getOrDefault(claim.key().request().value(), List.of());
        boolean ran = runs.contains(outcome.attempt());
        if (!ran || !outcome.body().equals(mRecordedBodies.get(outcome.attempt()))) {
            mBroken.add(Rule.RECORDED_IS_WHAT_RAN);
        }
    }

    /**
     * Claims a call whose attempt will find no upstream, so that it is withdrawn instead of run.
     */
    private void claimAndGiveUp(VmId vm, String id) {
        claim(vm, id, "body");
        AttemptId last = null;
        for (AttemptId attempt : mClaims.keySet()) {
            last = attempt;
        }
        mGaveUp.add(last);
    }

    private void record(VmId vm) {
        for (List<AttemptId> runs : mRuns.values()) {
            for (AttemptId attempt : runs) {
                if (attempt.vm().equals(vm) && !mRecordedBodies.containsKey(attempt)) {
                    record(attempt);
                    return;
                }
            }
        }
    }

    private void record(AttemptId attempt) {
        String body = "done by " + attempt.number();
        mRecordedBodies.put(attempt, body);
        CallOutcome outcome =
                new CallOutcome(mClaims.get(attempt).key(), attempt, 200, "text/plain", body);
        VmId vm = attempt.vm();
        mFleet.mVms.deliver(
                vm, atMs -> mFleet.ledger(vm).recordOutcome(atMs, outcome, (t, r) -> {}));
    }

    /** Ends all faults, waits for the waiting entries, and checks the final state. */
    private void endFaultsAndWait() {
        mFleet.mPlatform.setOutage(false);
        mFleet.mPlatform.setLatency(1, 3);
        setLossRate(0);
        mFleet.mPeers.healAll();
        mFleet.vms().forEach(mFleet.mPlatform::heal);
        mFleet.vms().forEach(mFleet.mVms::resume);
        restoreView();
        mFleet.mTime.runFor(RECOVERY_MS);
        mBills.keySet().stream()
                .filter(a -> !mFleet.mVms.isDead(a.vm()) && !mBillReplies.containsKey(a))
                .forEach(a -> mBroken.add(Rule.BILLS_END));
        checkSums();
        checkNotRunCallsCanRun();
    }

    /**
     * Checks that the settled tokens of each request and the audit add up to the bills in the log.
     */
    private void checkSums() {
        mHistory.catchUp();
        Map<RequestKey, Long> settled = new HashMap<>();
        Set<RequestKey> unanswered = new HashSet<>();
        mBills.forEach(
                (attempt, bill) -> {
                    if (mBillReplies.containsKey(attempt)) {
                        settled.merge(bill.key(), mBillReplies.get(attempt).tokens(), Long::sum);
                    } else {
                        unanswered.add(bill.key());
                    }
                });
        mHistory.amounts()
                .forEach(
                        (key, amount) -> {
                            if (!unanswered.contains(key) && !amount.equals(settled.get(key))) {
                                mBroken.add(Rule.SETTLED_SUMS_TO_BILL);
                            }
                        });
        long billed = mHistory.amounts().values().stream().mapToLong(Long::longValue).sum();
        if (mFleet.audit().sum().tokens() != billed) {
            mBroken.add(Rule.AUDIT_SUMS_TO_BILLS);
        }
    }

    /**
     * Checks that a call can still run if all its attempts, on live VMs, were answered "not run".
     */
    private void checkNotRunCallsCanRun() {
        VmId vm = mNames.get("vm0");
        List<Claim> probes = new ArrayList<>();
        for (int i = 0; i < LedgerStep.IDS; i++) {
            String id = "c" + i;
            List<Claim> attempts =
                    mClaims.values().stream()
                            .filter(c -> c.key().request().value().equals(id))
                            .toList();
            boolean allNotRun = attempts.stream().allMatch(c -> wasAnsweredNotRun(c.attempt()));
            if (!attempts.isEmpty() && allNotRun) {
                claim(vm, id, "body");
                probes.add(List.copyOf(mClaims.values()).get(mClaims.size() - 1));
            }
        }
        mFleet.mTime.runFor(MINUTE_MS);
        for (Claim probe : probes) {
            Either<Failure, ClaimOutcome> answer = mClaimReplies.get(probe.attempt());
            if (answer == null
                    || answer.isLeft()
                    || answer.get().status() != ClaimOutcome.Status.GRANTED) {
                mBroken.add(Rule.NOT_RUN_CAN_RUN_LATER);
            }
        }
    }

    private boolean wasAnsweredNotRun(AttemptId attempt) {
        Either<Failure, ClaimOutcome> answer = mClaimReplies.get(attempt);
        return !mFleet.mVms.isDead(attempt.vm())
                && answer != null
                && (answer.isLeft() || mGaveUp.contains(attempt));
    }

    private void check() {
        mHistory.catchUp();
        Map<RequestKey, AttemptId> billed = new HashMap<>();
        mBillReplies.forEach(
                (attempt, charge) -> {
                    RequestKey key = mBills.get(attempt).key();
                    boolean first = charge.outcome() == BillOutcome.BILLED;
                    if (first && billed.put(key, attempt) != null) {
                        mBroken.add(Rule.ONE_BILL_PER_ID);
                    }
                    if (first != mHistory.isFirstBill(key, attempt)) {
                        mBroken.add(Rule.FIRST_BILL_STANDS);
                    }
                    if (charge.tokens() != mHistory.chargedTokens(attempt)) {
                        mBroken.add(Rule.SETTLED_IS_CHARGED);
                    }
                });
        mRuns.values().stream()
                .filter(runs -> runs.size() > 1)
                .forEach(runs -> mBroken.add(Rule.ONE_RUN_PER_CALL));
        mRuns.values().stream()
                .flatMap(List::stream)
                .filter(attempt -> mClaimReplies.get(attempt).isLeft())
                .forEach(attempt -> mBroken.add(Rule.NOT_RUN_IS_TRUE));
    }
}
