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
 * Simulates VMs with request ledgers in virtual time, and records the reply to each attempt.
 *
 * <p>Each VM has its own view of the live members, so two VMs can act as the owner of one shard.
 * Not thread-safe: tests run on one thread.
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
    final Map<AttemptId, Either<Failure, BillCharge>> mBillReplies = new LinkedHashMap<>();
    final Map<AttemptId, Claim> mClaims = new LinkedHashMap<>();
    final Map<AttemptId, Either<Failure, ClaimOutcome>> mClaimReplies = new LinkedHashMap<>();

    private final LedgerSettings mSettings;
    private final long mSeed;
    private final UnaryOperator<Platform> mPlatformWrapper;
    private final Map<VmId, RequestLedger> mLedgers = new LinkedHashMap<>();
    private final Map<VmId, TreeSet<VmId>> mMembers = new HashMap<>();
    private long mAttempts;

    LedgerFleet(long seed, LedgerSettings settings) {
        this(seed, settings, platform -> platform);
    }

    /**
     * Creates a fleet whose VMs access the platform through a wrapper, such as one that breaks an
     * invariant.
     */
    LedgerFleet(long seed, LedgerSettings settings, UnaryOperator<Platform> platformWrapper) {
        mSeed = seed;
        mPlatformWrapper = platformWrapper;
        mSettings = settings;
        mPlatform = new FaultyPlatform(mTime, mVms, seed);
        mPeers = new FakePeerNetwork(mTime, mVms, seed + 1);
    }

    /** Returns the default settings with another number of shards. */
    static LedgerSettings settings(int shards) {
        LedgerSettings standard = LedgerSettings.standard();
        return new LedgerSettings(
                shards,
                standard.retention(),
                standard.commit(),
                standard.backlog(),
                standard.claimWaitMs());
    }

    /** Starts an incarnation of a VM; it and all live VMs see each other as members. */
    VmId start(String name, long incarnation) {
        return start(name, incarnation, mSettings);
    }

    /** Starts an incarnation of a VM with its own settings. */
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
                        mPlatformWrapper.apply(mPlatform.connect(vm)),
                        mPlatformWrapper.apply(mPlatform.connect(vm)),
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

    /** Returns all incarnations of VMs that were started. */
    List<VmId> vms() {
        return List.copyOf(mLedgers.keySet());
    }

    /** Sets the VMs that a VM considers to be live. */
    void setLiveMembers(VmId vm, VmId... live) {
        mMembers.put(vm, new TreeSet<>(List.of(live)));
    }

    /** Kills a VM and removes it from the views of the others. */
    void kill(VmId vm) {
        mVms.kill(vm);
        mMembers.values().forEach(m -> m.remove(vm));
    }

    AttemptId newAttempt(VmId vm) {
        return new AttemptId(vm, mAttempts++);
    }

    static RequestKey key(String id, String body) {
        return new RequestKey(ORGANISATION, new RequestId(id), body);
    }

    /** Bills a new attempt of a request on a VM; returns the attempt. */
    AttemptId bill(VmId vm, String id, long tokens) {
        AttemptId attempt = newAttempt(vm);
        Bill bill = new Bill(key(id, "body"), BUDGET, attempt, 0, tokens, mTime.nowMs());
        submitBill(vm, bill);
        return attempt;
    }

    /** Submits a bill to the ledger of a VM; a bill may be submitted again. */
    void submitBill(VmId vm, Bill bill) {
        mBills.put(bill.attempt(), bill);
        mVms.deliver(
                vm,
                atMs -> ledger(vm).bill(atMs, bill, (t, r) -> mBillReplies.put(bill.attempt(), r)));
    }

    /** Claims a call for a new attempt on a VM; returns the attempt. */
    AttemptId claim(VmId vm, String id, String body) {
        AttemptId attempt = newAttempt(vm);
        Claim claim = new Claim(key(id, body), attempt, mTime.nowMs());
        mClaims.put(attempt, claim);
        mVms.deliver(
                vm, atMs -> ledger(vm).claim(atMs, claim, (t, r) -> mClaimReplies.put(attempt, r)));
        return attempt;
    }

    /**
     * Records the outcome of a claimed call on its VM; returns a reference that receives whether it
     * was recorded.
     */
    AtomicReference<Boolean> recordOutcome(AttemptId attempt, String body) {
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

    /** Returns the status of an attempt's claim; empty if it is undecided or failed. */
    Optional<ClaimOutcome.Status> claimStatus(AttemptId attempt) {
        return Optional.ofNullable(mClaimReplies.get(attempt))
                .filter(Either::isRight)
                .map(r -> r.get().status());
    }

    /** Returns the outcome of an attempt's bill; empty if it is undecided. */
    Optional<BillOutcome> billOutcome(AttemptId attempt) {
        return Optional.ofNullable(mBillReplies.get(attempt)).map(r -> r.get().outcome());
    }

    /** Returns the attempts whose bill was the first of its request. */
    List<AttemptId> billedAttempts() {
        List<AttemptId> billed = new ArrayList<>();
        mBillReplies.forEach(
                (attempt, r) -> {
                    if (r.isRight() && r.get().outcome() == BillOutcome.BILLED) {
                        billed.add(attempt);
                    }
                });
        return billed;
    }

    /** Returns the tokens that an attempt was charged; 0 if its bill is undecided. */
    long chargedTokens(AttemptId attempt) {
        return mBillReplies.containsKey(attempt) ? mBillReplies.get(attempt).get().tokens() : 0;
    }

    /** Returns the sum of the tokens that all attempts were charged. */
    long settledTokens() {
        return mBillReplies.keySet().stream().mapToLong(this::chargedTokens).sum();
    }

    /** Audits the records directly at the store, without any injected faults. */
    RequestAuditReport audit() {
        AtomicReference<RequestAuditReport> report = new AtomicReference<>();
        new RequestAudit(mPlatform.store(), mSettings, 100)
                .run(mTime.nowMs(), (t, r) -> report.set(r.get()));
        return report.get();
    }
}
