package org.hornbeampass.experiment.budget;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.budget.GrantPolicy;
import org.hornbeampass.coordination.budget.HoldingView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.Reservation;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Runs one deployment under one fault and one policy, and keeps books of its own.
 *
 * <p>Not thread-safe; used once.
 */
final class BudgetRunner {
    static final long RUN_MS = 1_200_000;
    private static final long FAULT_FROM_MS = 300_000;
    private static final long FAULT_TO_MS = 900_000;
    private static final long TOP_UP_MS = 600_000;
    private static final long WAIT_MS = 2_000;
    private static final double MEAN_USED_SHARE = 0.4;
    private static final double OPENING_SHARE = 0.9;
    private static final double TOP_UP_SHARE = 0.3;

    private final Deployment mDeployment;
    private final Fault mFault;
    private final GrantPolicy mPolicy;
    private final int mOrganisations;
    private final int mBudgets;
    private final VirtualFleet mFleet;
    private final BudgetAdmin mAccounts;
    private final Random mRandom;
    private final Map<BudgetKey, Long> mPaid = new HashMap<>();
    private final Map<BudgetKey, Long> mSpent = new HashMap<>();
    private final Map<BudgetKey, Long> mLost = new HashMap<>();
    private final Map<Integer, Set<Long>> mOpen = new HashMap<>();
    private long mRequests;
    private long mRefused;
    private long mFalse;
    private long mFalseWithShare;
    private long mOverspent;
    private double mLargestLossShare;
    private int mDeaths;

    BudgetRunner(
            Deployment deployment,
            Fault fault,
            GrantPolicy policy,
            int vms,
            int organisations,
            int budgets,
            long seed) {
        mDeployment = deployment;
        mFault = fault;
        mPolicy = policy;
        mOrganisations = organisations;
        mBudgets = budgets;
        mFleet = new VirtualFleet(vms, 3, 1, policy, config());
        mAccounts = new BudgetAdmin(new VmId("operator", 1), mFleet.store());
        mRandom = new Random(seed);
    }

    private ConfigSnapshot config() {
        Parameters none = Parameters.none();
        Parameters set =
                new Parameters(
                        none.models(),
                        none.adapters(),
                        none.services(),
                        none.workKinds(),
                        none.priority(),
                        none.maxCompletionTokens(),
                        none.maxConcurrent(),
                        none.requestsPerSecond(),
                        Optional.of(mDeployment.preference()));
        Map<OrganisationId, OrganisationSpec> specs = new HashMap<>();
        for (int i = 0; i < mOrganisations; i++) {
            OrganisationId id = key(i, 0).organisation();
            specs.put(id, new OrganisationSpec(id, "all", none, Set.of(), Map.of()));
        }
        return new ConfigSnapshot(1, Map.of("all", new Template("all", set)), specs, Map.of());
    }

    private static BudgetKey key(int organisation, int budget) {
        return new BudgetKey(
                new OrganisationId("org" + organisation), new BudgetId("budget" + budget));
    }

    BudgetRunResult run() {
        for (int o = 0; o < mOrganisations; o++) {
            for (int b = 0; b < mBudgets; b++) {
                topUp(key(o, b), "opening", (long) (expected(o) * OPENING_SHARE));
            }
            scheduleNext(o);
        }
        mFleet.after(TOP_UP_MS, this::topUpAll);
        scheduleFault();
        mFleet.runUntil(RUN_MS);
        return result();
    }

    private double expected(int organisation) {
        return mDeployment.requestsPerSecond(organisation)
                * mDeployment.reservedTokens()
                * MEAN_USED_SHARE
                * RUN_MS
                / 1_000
                / mBudgets;
    }

    private void topUpAll() {
        for (int o = 0; o < mOrganisations; o++) {
            for (int b = 0; b < mBudgets; b++) {
                topUp(key(o, b), "second", (long) (expected(o) * TOP_UP_SHARE));
            }
        }
    }

    private void topUp(BudgetKey key, String id, long tokens) {
        mPaid.merge(key, tokens, Long::sum);
        mAccounts.topUp(mFleet.nowMs(), key, id, tokens, (at, r) -> {});
    }

    private void scheduleFault() {
        switch (mFault) {
            case NONE -> {}
            case PARTITION -> {
                mFleet.after(FAULT_FROM_MS, () -> mFleet.cutDomain(2));
                mFleet.after(FAULT_TO_MS, () -> mFleet.cutDomain(-1));
            }
            case PLATFORM_OUTAGE -> {
                mFleet.after(FAULT_FROM_MS, () -> mFleet.platformDown(true));
                mFleet.after(FAULT_TO_MS, () -> mFleet.platformDown(false));
            }
            case DEATHS -> scheduleDeath();
            default -> throw new IllegalStateException("unknown fault " + mFault);
        }
    }

    private void scheduleDeath() {
        mFleet.after(
                60_000,
                () -> {
                    int vm = mDeaths++ % mFleet.size();
                    VmId gone = mFleet.id(vm);
                    noteLoss(vm);
                    mFleet.die(vm);
                    mOpen.remove(vm);
                    mFleet.after(10_000, () -> replace(vm, gone));
                    scheduleDeath();
                });
    }

    private void noteLoss(int vm) {
        for (BudgetKey key : mPaid.keySet()) {
            long held = mFleet.ledger(vm).view(key).map(v -> v.free() + v.reserved()).orElse(0L);
            mLost.merge(key, held, Long::sum);
            mLargestLossShare = Math.max(mLargestLossShare, (double) held / mPaid.get(key));
        }
    }

    private void replace(int vm, VmId gone) {
        mFleet.start(vm);
        for (int i = 0; i < mFleet.size(); i++) {
            if (mFleet.up(i)) {
                mFleet.ledger(i).onVmGone(mFleet.nowMs(), gone);
            }
        }
    }

    private void scheduleNext(int organisation) {
        double perMs = mDeployment.requestsPerSecond(organisation) / 1_000;
        long delay = (long) (-Math.log(1 - mRandom.nextDouble()) / perMs);
        mFleet.after(
                delay,
                () -> {
                    request(organisation);
                    scheduleNext(organisation);
                });
    }

    private void request(int organisation) {
        int vm = mRandom.nextInt(mFleet.size());
        int budget = mRandom.nextInt(mBudgets);
        double usedShare = 0.1 + 0.6 * mRandom.nextDouble();
        long runsMs = 500L + mRandom.nextInt(8_000);
        if (!mFleet.up(vm)) {
            return;
        }
        mRequests++;
        long tokens = mDeployment.reservedTokens();
        BudgetKey key = key(organisation, budget);
        mFleet.ledger(vm)
                .reserve(
                        mFleet.nowMs(),
                        key,
                        new RequestId("r" + mRequests),
                        tokens,
                        WAIT_MS,
                        (at, outcome) ->
                                outcome.peekLeft(f -> refused(key, tokens, f))
                                        .peek(r -> admitted(vm, r, usedShare, runsMs)));
    }

    private void admitted(int vm, Reservation made, double usedShare, long runsMs) {
        mOpen.computeIfAbsent(vm, v -> new HashSet<>()).add(made.number());
        VmId on = mFleet.id(vm);
        mFleet.after(
                runsMs,
                () -> {
                    if (!mFleet.up(vm) || !mFleet.id(vm).equals(on)) {
                        return;
                    }
                    long used = (long) (made.tokens() * usedShare);
                    mFleet.ledger(vm).settle(mFleet.nowMs(), made, used);
                    long spent = mSpent.merge(made.key(), used, Long::sum);
                    mOverspent = Math.max(mOverspent, spent - mPaid.get(made.key()));
                });
    }

    private void refused(BudgetKey key, long tokens, Failure failure) {
        if (failure.kind() == ErrorKind.SHUTTING_DOWN) {
            return;
        }
        mRefused++;
        long held = 0;
        long reserved = 0;
        for (int i = 0; i < mFleet.size(); i++) {
            if (mFleet.up(i)) {
                Optional<HoldingView> view = mFleet.ledger(i).view(key);
                held += view.map(HoldingView::free).orElse(0L);
                reserved += view.map(HoldingView::reserved).orElse(0L);
            }
        }
        long unspent = mPaid.get(key) - mSpent.getOrDefault(key, 0L) - mLost.getOrDefault(key, 0L);
        if (Math.max(held, unspent - reserved) < tokens) {
            return;
        }
        mFalse++;
        if (unspent >= mPaid.get(key) / 20) {
            mFalseWithShare++;
        }
    }

    private BudgetRunResult result() {
        long[] writtenOff = new long[1];
        long paid = 0;
        double seconds = RUN_MS / 1_000.0;
        double writes = mFleet.writes() / seconds;
        double reads = mFleet.reads() / seconds;
        for (int o = 0; o < mOrganisations; o++) {
            mAccounts.statement(
                    mFleet.nowMs(),
                    key(o, 0).organisation(),
                    (at, r) ->
                            r.get().stream()
                                    .mapToLong(BudgetStatement::writtenOff)
                                    .forEach(w -> writtenOff[0] += w));
        }
        for (long each : mPaid.values()) {
            paid += each;
        }
        return new BudgetRunResult(
                mDeployment,
                mFault,
                mPolicy,
                mRequests,
                mRefused,
                mFalse,
                mFalseWithShare,
                Math.max(0, mOverspent),
                writtenOff[0],
                paid,
                mLargestLossShare,
                writes,
                reads);
    }
}
