package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BillCharge;
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestAuditReport;
import org.hornbeampass.state.requests.RequestKey;
import org.hornbeampass.testing.FakePeerNetwork;
import org.hornbeampass.testing.FakeVms;
import org.hornbeampass.testing.FaultyPlatform;
import org.hornbeampass.testing.VirtualTime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * A few VMs with ledgers in virtual time, and what each attempt was told.
 *
 * <p>Each VM has its own view of the members, so two VMs can own one shard. Not thread-safe: tests
 * run on one thread.
 */
final class LedgerFleet {
    static final long START_MS = 1_764_700_000_000L;
    static final long TICK_MS = 10;
    static final OrganisationId ORGANISATION = new OrganisationId("utility");
    static final BudgetId BUDGET = new BudgetId("main");

    final VirtualTime mTime = new VirtualTime(START_MS);
    final FakeVms mVms = new FakeVms(mTime);
    final FaultyPlatform mPlatform;
    final FakePeerNetwork mPeers;
    final Map<AttemptId, Bill> mBills = new LinkedHashMap<>();
    final Map<AttemptId, Either<Failure, BillCharge>> mBilled = new LinkedHashMap<>();
    final Map<AttemptId, Claim> mClaims = new LinkedHashMap<>();
    final Map<AttemptId, Either<Failure, ClaimOutcome>> mClaimed = new LinkedHashMap<>();

    private final LedgerSettings mSettings;
    private final long mSeed;
    private final UnaryOperator<Platform> mPlatformRule;
    private final Map<VmId, RequestLedger> mLedgers = new LinkedHashMap<>();
    private final Map<VmId, TreeSet<VmId>> mMembers = new HashMap<>();
    private long mAttempts;

    LedgerFleet(long seed, LedgerSettings settings) {
        this(seed, settings, platform -> platform);
    }

    /** Creates a fleet whose VMs see the platform through a rule, such as a broken one. */
    LedgerFleet(long seed, LedgerSettings settings, UnaryOperator<Platform> platformRule) {
        mSeed = seed;
        mPlatformRule = platformRule;
        mSettings = settings;
        mPlatform = new FaultyPlatform(mTime, mVms, seed);
        mPeers = new FakePeerNetwork(mTime, mVms, seed + 1);
    }

    /** Returns settings with few shards. */
    static LedgerSettings settings(int shards) {
        LedgerSettings standard = LedgerSettings.standard();
        return new LedgerSettings(
                shards,
                standard.retention(),
                standard.commit(),
                standard.backlog(),
                standard.claimWaitMs());
    }

    /** Starts a life of a VM; all others see it, and it sees all that live. */
    VmId start(String name, long incarnation) {
        return start(name, incarnation, mSettings);
    }

    /** Starts a life of a VM with settings of its own. */
    VmId start(String name, long incarnation, LedgerSettings settings) {
        VmId vm = new VmId(name, incarnation);
        TreeSet<VmId> members = new TreeSet<>();
        for (VmId other : mLedgers.keySet()) {
            if (!mVms.isDead(other)) {
                members.add(other);
                mMembers.get(other).add(vm);
            }
        }
        members.add(vm);
        mMembers.put(vm, members);
        RequestLedger ledger =
                new RequestLedger(
                        mPlatformRule.apply(mPlatform.connect(vm)),
                        mPlatformRule.apply(mPlatform.connect(vm)),
                        mPeers.connect(vm),
                        vm,
                        ShardOwners.rendezvous(() -> mMembers.get(vm)),
                        mVms::isDead,
                        settings,
                        mSeed + mLedgers.size());
        mLedgers.put(vm, ledger);
        mPeers.register(vm, SubmitEntries.class, ledger.submitHandler());
        mTime.every(TICK_MS, t -> mVms.deliver(vm, ledger::tick));
        return vm;
    }

    RequestLedger ledger(VmId vm) {
        return mLedgers.get(vm);
    }

    /** Returns all lives of VMs that were started. */
    List<VmId> vms() {
        return List.copyOf(mLedgers.keySet());
    }

    /** Makes a VM believe that only these VMs are live. */
    void sees(VmId vm, VmId... live) {
        mMembers.put(vm, new TreeSet<>(List.of(live)));
    }

    /** Kills a VM; the others learn of it. */
    void kill(VmId vm) {
        mVms.kill(vm);
        mMembers.values().forEach(m -> m.remove(vm));
    }

    AttemptId attempt(VmId vm) {
        return new AttemptId(vm, mAttempts++);
    }

    static RequestKey key(String id, String body) {
        return new RequestKey(ORGANISATION, new RequestId(id), body);
    }

    /** Bills an attempt of a request on a VM. */
    AttemptId bill(VmId vm, String id, long tokens) {
        AttemptId attempt = attempt(vm);
        Bill bill = new Bill(key(id, "body"), BUDGET, attempt, 0, tokens, mTime.nowMs());
        submit(vm, bill);
        return attempt;
    }

    /** Bills once more what was billed before. */
    void submit(VmId vm, Bill bill) {
        mBills.put(bill.attempt(), bill);
        mVms.deliver(
                vm, atMs -> ledger(vm).bill(atMs, bill, (t, r) -> mBilled.put(bill.attempt(), r)));
    }

    /** Claims a call on a VM. */
    AttemptId claim(VmId vm, String id, String body) {
        AttemptId attempt = attempt(vm);
        Claim claim = new Claim(key(id, body), attempt, mTime.nowMs());
        mClaims.put(attempt, claim);
        mVms.deliver(vm, atMs -> ledger(vm).claim(atMs, claim, (t, r) -> mClaimed.put(attempt, r)));
        return attempt;
    }

    /** Records the outcome of a claimed call on its VM; returns where the result will be. */
    AtomicReference<Boolean> outcome(AttemptId attempt, String body) {
        AtomicReference<Boolean> recorded = new AtomicReference<>();
        CallOutcome outcome =
                new CallOutcome(mClaims.get(attempt).key(), attempt, 200, "application/json", body);
        mVms.deliver(
                attempt.vm(),
                atMs ->
                        ledger(attempt.vm())
                                .recordOutcome(atMs, outcome, (t, r) -> recorded.set(r.get())));
        return recorded;
    }

    /** Returns what an attempt's claim was answered; empty where it waits or failed. */
    Optional<ClaimOutcome.Status> claimStatus(AttemptId attempt) {
        return Optional.ofNullable(mClaimed.get(attempt))
                .filter(Either::isRight)
                .map(r -> r.get().status());
    }

    /** Returns what an attempt's bill was answered. */
    Optional<BillOutcome> billOutcome(AttemptId attempt) {
        return Optional.ofNullable(mBilled.get(attempt)).map(r -> r.get().outcome());
    }

    /** Returns each attempt that was billed with success. */
    List<AttemptId> billed() {
        List<AttemptId> billed = new ArrayList<>();
        mBilled.forEach(
                (attempt, r) -> {
                    if (r.isRight() && r.get().outcome() == BillOutcome.BILLED) {
                        billed.add(attempt);
                    }
                });
        return billed;
    }

    /** Returns what an attempt was told to settle; 0 where its bill is not answered. */
    long charged(AttemptId attempt) {
        return mBilled.containsKey(attempt) ? mBilled.get(attempt).get().tokens() : 0;
    }

    /** Returns what all attempts were told to settle. */
    long settled() {
        return mBilled.keySet().stream().mapToLong(this::charged).sum();
    }

    /** Reads the records past all faults. */
    RequestAuditReport audit() {
        AtomicReference<RequestAuditReport> report = new AtomicReference<>();
        new RequestAudit(mPlatform.store(), mSettings, 100)
                .run(mTime.nowMs(), (t, r) -> report.set(r.get()));
        return report.get();
    }
}
