package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.service.HomeRegions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Plays callers of one organisation that all keep to one VM, in virtual time, and checks that they
 * spread over the fleet without being sent back and forth.
 */
class CallerSpreadTest {
    private static final long TICK_MS = 100;
    private static final long KEEP_MS = 2_000;
    private static final int REQUESTS_PER_CALLER = 2;
    private static final int CALLERS_PER_VM = 4;
    private static final long MEASURED_FROM_MS = 8_000;
    private static final long END_MS = 20_000;

    /** One VM with its requests in progress. */
    private final class Vm implements PeerNetwork {
        private final Member mMember;
        private final OverloadDetector mDetector = new OverloadDetector();
        private final ConditionExchange mExchange;
        private int mRequests;

        Vm(int number) {
            String name = "vm-" + number;
            mMember =
                    new Member(
                            new VmId(name, 1),
                            name + ":80",
                            name + ":81",
                            new Region("r"),
                            new FailureDomain("d" + number % 3),
                            MemberState.LIVE);
            mExchange = new ConditionExchange(name, 1, this, this::paths);
        }

        private BroadcastPaths paths() {
            return BroadcastPaths.choose(mMember, members());
        }

        @Override
        public void send(String vmName, PeerMessage message) {
            mDeliveries.add(
                    () ->
                            vm(vmName)
                                    .mExchange
                                    .onReport(
                                            mNowMs,
                                            mMember.vm(),
                                            (ConditionReport) message,
                                            r -> {}));
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            throw new AssertionError("unexpected request");
        }
    }

    private final List<Vm> mVms = new ArrayList<>();
    private final List<Runnable> mDeliveries = new ArrayList<>();
    private final Map<Integer, Vm> mVmOfCaller = new HashMap<>();
    private final Random mRandom = new Random(3);
    private long mNowMs;

    private Vm vm(String name) {
        return mVms.get(Integer.parseInt(name.substring(3)));
    }

    private List<Member> members() {
        return mVms.stream().map(v -> v.mMember).toList();
    }

    private Vm answer(Vm asked) {
        List<Member> named =
                PreferredMembers.select(
                        members(),
                        HomeRegions.ANY,
                        Optional.empty(),
                        Set.of(),
                        asked.mExchange.overloaded());
        return vm(named.get(mRandom.nextInt(named.size())).name());
    }

    private boolean names(Vm asked, Vm vm) {
        return PreferredMembers.select(
                        members(),
                        HomeRegions.ANY,
                        Optional.empty(),
                        Set.of(),
                        asked.mExchange.overloaded())
                .contains(vm.mMember);
    }

    private Vm randomVm() {
        return mVms.get(mRandom.nextInt(mVms.size()));
    }

    private void tick(int callers) {
        List<Runnable> deliveries = List.copyOf(mDeliveries);
        mDeliveries.clear();
        deliveries.forEach(Runnable::run);
        for (int caller = 0; caller < callers; caller++) {
            boolean refreshes = (mNowMs + caller * 37L) % KEEP_MS < TICK_MS;
            if (refreshes && !names(randomVm(), mVmOfCaller.get(caller))) {
                mVmOfCaller.put(caller, answer(randomVm()));
            }
        }
        mVms.forEach(v -> v.mRequests = 0);
        mVmOfCaller.values().forEach(v -> v.mRequests += REQUESTS_PER_CALLER);
        double mean = mVms.stream().mapToInt(v -> v.mRequests).average().orElseThrow();
        for (Vm vm : mVms) {
            vm.mExchange.tick(mNowMs, vm.mDetector.update(mNowMs, vm.mRequests, mean, 0), Set.of());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 22, 77})
    void callersThatKeepToOneVm_spreadOverTheFleet(int vms) {
        for (int i = 0; i < vms; i++) {
            mVms.add(new Vm(i));
        }
        int callers = vms * CALLERS_PER_VM;
        for (int caller = 0; caller < callers; caller++) {
            boolean sticks = caller % 2 == 0;
            mVmOfCaller.put(caller, sticks ? mVms.get(0) : mVms.get(caller % vms));
        }
        double worst = 0;
        for (; mNowMs < END_MS; mNowMs += TICK_MS) {
            tick(callers);
            if (mNowMs >= MEASURED_FROM_MS) {
                int busiest = mVms.stream().mapToInt(v -> v.mRequests).max().orElseThrow();
                worst = Math.max(worst, busiest * vms / (callers * (double) REQUESTS_PER_CALLER));
            }
        }
        assertThat(worst).isLessThanOrEqualTo(3);
    }
}
