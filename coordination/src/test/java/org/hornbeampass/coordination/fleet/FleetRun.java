package org.hornbeampass.coordination.fleet;

import io.vavr.control.Either;

import org.hornbeampass.coordination.address.AddressQuery;
import org.hornbeampass.coordination.config.ConfigSettings;
import org.hornbeampass.coordination.config.PullReply;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.testing.FakeFleet;
import org.hornbeampass.testing.FakeRouter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Runs one schedule on a fleet of six VMs in two regions and checks the invariants after each step.
 *
 * <p>Not thread-safe: tests run on one thread.
 */
final class FleetRun {
    static final int VMS = 6;
    static final long SILENCE_MS = 40_000;
    private static final long RECOVERY_MS = 30_000;
    private static final long FINAL_RECOVERY_MS = 120_000;

    private final FleetMutant mMutant;
    private final FakeFleet mFleet;
    private final LogHistory mLog;
    private final Set<FleetInvariant> mViolated = EnumSet.noneOf(FleetInvariant.class);
    private final Map<FakeRouter, Long> mRevisions = new HashMap<>();
    private final Map<VmId, Long> mLeaveMs = new HashMap<>();
    private final Map<VmId, Long> mStoppedMs = new HashMap<>();
    private final List<Proposal> mProposals = new ArrayList<>();
    private Set<VmId> mStaleList = Set.of();
    private long mListVersion;
    private long mLastFaultMs;
    private boolean mGarblesReplies;

    /** A proposed change and the reply, once it has arrived. */
    private static final class Proposal {
        private final ConfigChange mChange;
        private Either<Failure, Long> mAnswer;

        Proposal(ConfigChange change) {
            mChange = change;
        }
    }

    FleetRun(FleetMutant mutant, long seed) {
        mMutant = mutant;
        mFleet = new FakeFleet(seed, 2, 2, membership(mutant), config());
        mLog = new LogHistory(mFleet.platform().store());
        mFleet.platform()
                .setCallRewrite(call -> mutant.rewriteCall(mFleet.platform().store(), call));
        mFleet.network().setMessageRewrite(m -> garble(mutant.rewriteMessage(m)));
        for (int i = 0; i < VMS; i++) {
            mFleet.start(name(i));
        }
        mFleet.runFor(RECOVERY_MS);
        mLastFaultMs = mFleet.nowMs();
    }

    private static MembershipSettings membership(FleetMutant mutant) {
        return new MembershipSettings(
                1_000,
                500,
                3,
                3_000,
                3,
                400,
                3_000,
                1_000,
                5_000,
                10_000,
                10_000,
                2,
                2_500,
                mutant.silenceMs(),
                86_400_000);
    }

    private static ConfigSettings config() {
        return new ConfigSettings(
                1_000, Duration.ofSeconds(20), 1_000, 60_000, 10_000, 6, 65_536, 4, 30_000, 3);
    }

    private PeerMessage garble(PeerMessage message) {
        if (!mGarblesReplies
                || !(message instanceof PullReply reply)
                || reply.entries().isEmpty()) {
            return message;
        }
        List<String> entries =
                reply.entries().stream()
                        .map(e -> e.replace("maxConcurrent\":1", "maxConcurrent\":2"))
                        .toList();
        return new PullReply(
                reply.ready(), reply.newest(), reply.problem(), reply.hashAfter(), entries);
    }

    private static String name(int number) {
        return "vm-" + number % VMS;
    }

    /** Runs the steps; returns the invariants that were violated. */
    Set<FleetInvariant> run(List<FleetStep> steps) {
        for (FleetStep step : steps) {
            apply(step.kind(), name(step.vm()));
            check();
            mFleet.runFor(step.waitMs());
            check();
        }
        checkFinalState();
        return mViolated;
    }

    private void apply(FleetStep.Kind kind, String vm) {
        switch (kind) {
            case WAIT -> {}
            case PROPOSE -> propose(vm);
            case PROPOSE_TWICE -> {
                propose(vm);
                propose(name(vm.charAt(3) - '0' + 1));
            }
            case STALE_LIST -> sendList(mStaleList);
            case CURRENT_LIST -> {
                mStaleList = running();
                sendList(mStaleList);
            }
            default -> {
                injectFault(kind, vm);
                mLastFaultMs = mFleet.nowMs();
            }
        }
    }

    private void injectFault(FleetStep.Kind kind, String vm) {
        switch (kind) {
            case KILL -> kill(vm);
            case RESTART -> {
                mStoppedMs.putIfAbsent(mFleet.router(vm).vm(), mFleet.nowMs());
                mFleet.start(vm);
            }
            case PAUSE -> mFleet.pause(vm);
            case RESUME -> resume(vm);
            case LEAVE -> leave(vm);
            case CUT_REGION -> mFleet.isolate(m -> m.region().value().equals("r0"));
            case CUT_VM -> mFleet.isolate(m -> m.name().equals(vm));
            case HEAL -> mFleet.network().healAll();
            case PLATFORM_OUTAGE -> mFleet.platform().setOutage(true);
            case PLATFORM_MESSAGE_LOSS -> mFleet.platform().setLossRates(0.2, 0.3);
            case PLATFORM_RECOVERY -> recoverPlatform();
            case PEER_MESSAGE_LOSS -> {
                mFleet.network().setDropRate(0.1);
                mFleet.network().setDuplicateRate(0.2);
                mFleet.network().setLatency(1, 300);
            }
            case PEER_RECOVERY -> recoverPeers();
            case GARBLED_REPLIES -> mGarblesReplies = true;
            default -> throw new IllegalArgumentException("not a fault: " + kind);
        }
    }

    private void recoverPlatform() {
        mFleet.platform().setOutage(false);
        mFleet.platform().setLossRates(0, 0);
    }

    private void recoverPeers() {
        mFleet.network().setDropRate(0);
        mFleet.network().setDuplicateRate(0);
        mFleet.network().setLatency(1, 3);
        mGarblesReplies = false;
    }

    private void kill(String vm) {
        mStoppedMs.putIfAbsent(mFleet.router(vm).vm(), mFleet.nowMs());
        if (!mMutant.stoppedVmAcknowledges()) {
            mFleet.kill(vm);
        }
    }

    private void resume(String vm) {
        if (mFleet.isPaused(vm) && mMutant.resumeLosesState()) {
            mFleet.resume(vm);
            mFleet.startAs(mFleet.router(vm).vm());
            return;
        }
        mFleet.resume(vm);
    }

    private void leave(String vm) {
        FakeRouter router = mFleet.router(vm);
        if (mFleet.running().contains(router) && !mFleet.isPaused(vm)) {
            router.membership().leave(mFleet.nowMs());
            mLeaveMs.putIfAbsent(router.vm(), mFleet.nowMs());
        }
    }

    private void propose(String vm) {
        FakeRouter router = mFleet.router(vm);
        if (!mFleet.running().contains(router) || mFleet.isPaused(vm)) {
            return;
        }
        Proposal proposal = new Proposal(LogHistory.numberedChange(mProposals.size()));
        mProposals.add(proposal);
        router.config()
                .propose(
                        mFleet.nowMs(),
                        proposal.mChange,
                        OptionalLong.empty(),
                        (t, answer) -> proposal.mAnswer = answer);
    }

    private Set<VmId> running() {
        Set<VmId> running = new HashSet<>();
        mFleet.running().forEach(r -> running.add(r.vm()));
        return running;
    }

    /**
     * Sends a platform list to all VMs. A stale list also gets a new version, since the platform
     * may serve outdated content.
     */
    private void sendList(Set<VmId> listed) {
        mFleet.deliverPlatformList(++mListVersion, r -> listed.contains(r.vm()));
    }

    private void check() {
        mLog.read();
        for (FakeRouter router : mFleet.running()) {
            checkRevision(router);
            checkProvedGone(router);
        }
        for (Proposal proposal : mProposals) {
            checkAnswer(proposal);
        }
        if (mFleet.nowMs() - mLastFaultMs >= RECOVERY_MS) {
            mFleet.running().stream()
                    .filter(r -> !mFleet.isPaused(r.vm().name()))
                    .forEach(this::checkView);
        }
    }

    private void checkRevision(FakeRouter router) {
        long revision = router.config().snapshot().revision();
        long before = mRevisions.getOrDefault(sameIncarnation(router), 0L);
        require(FleetInvariant.REVISION_NEVER_FALLS, revision >= before);
        mRevisions.put(router, revision);
        require(
                FleetInvariant.SAME_REVISION_SAME_CONFIGURATION,
                mLog.at(revision)
                        .filter(s -> s.templates().equals(router.config().snapshot().templates()))
                        .isPresent());
    }

    private FakeRouter sameIncarnation(FakeRouter router) {
        return mRevisions.keySet().stream()
                .filter(r -> r.vm().equals(router.vm()))
                .max(java.util.Comparator.comparing(mRevisions::get))
                .orElse(router);
    }

    private void checkProvedGone(FakeRouter router) {
        Set<VmId> running = running();
        require(
                FleetInvariant.RUNNING_NOT_PROVED_GONE,
                router.provedGone().stream().noneMatch(running::contains));
    }

    private void checkAnswer(Proposal proposal) {
        int times = mLog.countOf(proposal.mChange);
        require(FleetInvariant.REJECTED_CHANGE_NOT_IN_LOG, times <= 1);
        if (proposal.mAnswer == null) {
            return;
        }
        if (proposal.mAnswer.isRight()) {
            require(
                    FleetInvariant.ACCEPTED_CHANGE_IN_LOG,
                    mLog.change(proposal.mAnswer.get())
                            .filter(proposal.mChange::equals)
                            .isPresent());
            return;
        }
        boolean unknown = proposal.mAnswer.getLeft().kind() == ErrorKind.OUTCOME_UNKNOWN;
        require(FleetInvariant.REJECTED_CHANGE_NOT_IN_LOG, unknown || times == 0);
    }

    private void checkView(FakeRouter router) {
        long since = mFleet.nowMs() - RECOVERY_MS;
        mStoppedMs.forEach(
                (vm, atMs) ->
                        require(
                                FleetInvariant.STOPPED_VM_NOT_LIVE,
                                atMs > since || !isIn(router, vm, MemberState.LIVE)));
        mLeaveMs.forEach(
                (vm, atMs) ->
                        require(
                                FleetInvariant.LEAVING_VM_NOT_IN_ANSWERS,
                                atMs > since || !answers(router, vm)));
    }

    private static boolean isIn(FakeRouter router, VmId vm, MemberState state) {
        return router.membership().view().inState(state).stream().anyMatch(m -> m.vm().equals(vm));
    }

    private boolean answers(FakeRouter router, VmId vm) {
        return router.addresses().answer(mFleet.nowMs(), AddressQuery.any()).addresses().stream()
                .anyMatch(a -> a.vm().equals(vm));
    }

    private void checkFinalState() {
        mFleet.network().healAll();
        recoverPlatform();
        recoverPeers();
        for (FakeRouter router : mFleet.running()) {
            resume(router.vm().name());
        }
        mLastFaultMs = mFleet.nowMs();
        mFleet.runFor(FINAL_RECOVERY_MS);
        check();
        Set<VmId> running = running();
        for (FakeRouter router : mFleet.running()) {
            boolean sees =
                    running.stream()
                            .allMatch(
                                    vm ->
                                            isIn(router, vm, MemberState.LIVE)
                                                    || isIn(router, vm, MemberState.LEAVING));
            require(FleetInvariant.VIEWS_AGREE_AT_THE_END, sees);
            boolean newest = router.config().snapshot().revision() == mLog.newest();
            require(
                    FleetInvariant.CONFIGURATION_AGREES_AT_THE_END,
                    newest && router.config().ready());
        }
    }

    private void require(FleetInvariant invariant, boolean holds) {
        if (!holds) {
            mViolated.add(invariant);
        }
    }
}
