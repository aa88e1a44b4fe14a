package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.SendOnlyPeerNetwork;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Tests that signals in an answer to one VM reach all VMs soon. */
class SignalExchangeTest {
    private static final int DOMAINS = 5;
    private static final UpstreamSignals LEAVING = new UpstreamSignals(true, RateLimit.UNKNOWN);
    private static final OptionalDouble ONE = OptionalDouble.of(1);
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, Optional.empty());

    private final Map<String, UpstreamRegistry> mRegistries = new HashMap<>();
    private final Map<String, SignalTable> mTables = new HashMap<>();
    private final Map<String, SignalExchange> mExchanges = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final Map<String, String> mSources = new HashMap<>();
    private int mMessages;
    private long mNowMs = 1_000;

    /** Delivers messages at once to the other VMs. */
    private final class Peers extends SendOnlyPeerNetwork {
        private final VmId mSelf;

        Peers(VmId self) {
            mSelf = self;
        }

        @Override
        public void send(String vmName, PeerMessage message) {
            mMessages++;
            mExchanges.get(vmName).onReport(mNowMs, mSelf, (SignalReport) message, r -> {});
        }
    }

    /** Records the source of each signal. */
    private final class Listener implements SignalListener {
        private final String mSelf;

        Listener(String self) {
            mSelf = self;
        }

        @Override
        public void onLeaving(long nowMs, UpstreamIncarnation upstream, String source) {
            mSources.put(mSelf, source);
        }

        @Override
        public void onRateLimit(
                long nowMs, UpstreamIncarnation upstream, OptionalDouble limit, String source) {
            mSources.put(mSelf, source);
        }
    }

    private void start(int vms) {
        for (int i = 0; i < vms; i++) {
            startVm(i);
        }
    }

    private void startVm(int number) {
        Member self = TestMembers.live("vm-" + number, number % DOMAINS);
        mMembers.add(self);
        SignalTable table = new SignalTable();
        UpstreamRegistry registry =
                new UpstreamRegistry(
                        new Random(1),
                        () -> 8,
                        table,
                        SendGate.OPEN,
                        Placement.unrestricted(),
                        new SlowStarts());
        mRegistries.put(self.name(), registry);
        mTables.put(self.name(), table);
        mExchanges.put(
                self.name(),
                new SignalExchange(
                        registry,
                        table,
                        new Peers(self.vm()),
                        () -> BroadcastPaths.choose(self, mMembers),
                        new Listener(self.name())));
        list(self.name(), entry("i-1", 100, false));
        list(self.name(), entry("i-2", 100, false));
    }

    private static UpstreamEntry entry(String id, long bornMs, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.of(bornMs), "s", "a:80", new FailureDomain("d"), 6, leaving);
    }

    private void list(String vm, UpstreamEntry entry) {
        mRegistries.get(vm).onEntry(mNowMs, entry);
    }

    private void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += 100) {
            mExchanges.values().forEach(e -> e.tick(mNowMs));
        }
    }

    private Optional<UpstreamInstance> choose(String vm, String... tried) {
        return mRegistries
                .get(vm)
                .choose(mNowMs, SERVICE, Prompt.NONE, Set.of(tried))
                .map(UpstreamChoice::instance);
    }

    private void reportLeaving(String vm, String upstream) {
        UpstreamInstance chosen = choose(vm, upstream.equals("i-1") ? "i-2" : "i-1").orElseThrow();
        assertThat(chosen.id()).isEqualTo(upstream);
        mExchanges.get(vm).onAnswer(mNowMs, chosen, LEAVING);
    }

    private void reportLimit(String vm, OptionalDouble perSecond, long requestSentMs) {
        UpstreamInstance chosen = choose(vm, "i-2").orElseThrow();
        RateLimit limit = new RateLimit(perSecond, requestSentMs, mNowMs);
        mExchanges.get(vm).onAnswer(mNowMs, chosen, new UpstreamSignals(false, limit));
    }

    private OptionalDouble limitAt(String vm) {
        return mTables.get(vm).get(new UpstreamIncarnation("i-1", 100)).rateLimit().perSecond();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void leavingSignalToOneVm_stopsRequestsOfAllVms(int vms) {
        start(vms);
        reportLeaving("vm-3", "i-1");
        run(1_000);
        for (String vm : mRegistries.keySet()) {
            assertThat(choose(vm, "i-2")).isEmpty();
            assertThat(choose(vm, "i-1")).isPresent();
            assertThat(mSources.get(vm).isEmpty()).isEqualTo(vm.equals("vm-3"));
        }
    }

    @Test
    void staleReadyEntry_doesNotRevertLeavingSignal() {
        start(8);
        reportLeaving("vm-3", "i-1");
        run(1_000);
        list("vm-5", entry("i-1", 100, false));
        assertThat(choose("vm-5", "i-2")).isEmpty();
    }

    @Test
    void laterIncarnation_getsRequestsAgain() {
        start(8);
        reportLeaving("vm-3", "i-1");
        run(1_000);
        list("vm-5", entry("i-1", 200, false));
        assertThat(choose("vm-5", "i-2")).isPresent();
    }

    @Test
    void vmThatStartsLater_receivesLeavingSignal() {
        start(8);
        reportLeaving("vm-3", "i-1");
        run(20_000);
        startVm(8);
        run(1_000);
        assertThat(choose("vm-8", "i-2")).isEmpty();
    }

    @Test
    void signalBeforeTheEntry_appliesOnceTheUpstreamIsListed() {
        start(2);
        SignalReport.Item item =
                SignalReport.Item.of(mNowMs, new UpstreamIncarnation("i-9", 100), LEAVING);
        mExchanges.get("vm-0").onItem(mNowMs, mMembers.get(1).vm(), item);
        list("vm-0", entry("i-9", 100, false));
        assertThat(choose("vm-0", "i-1", "i-2")).isEmpty();
    }

    @Test
    void leavingSignalConfirmedByTheEntry_isNoLongerSent() {
        start(8);
        reportLeaving("vm-3", "i-1");
        mRegistries.keySet().forEach(vm -> list(vm, entry("i-1", 100, true)));
        run(5_000);
        mMessages = 0;
        run(20_000);
        assertThat(mMessages).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void rateLimitStatedToOneVm_reachesAllWithinASecond(int vms) {
        start(vms);
        reportLimit("vm-3", ONE, mNowMs);
        run(1_000);
        for (String vm : mRegistries.keySet()) {
            assertThat(limitAt(vm)).isEqualTo(ONE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void rateLimitNoLongerStated_endsOnAllVmsWithinAFewSeconds(int vms) {
        start(vms);
        reportLimit("vm-3", ONE, mNowMs);
        run(2_000);
        for (int i = 0; i < 5; i++) {
            reportLimit("vm-5", OptionalDouble.empty(), mNowMs - 50);
            run(500);
        }
        for (String vm : mRegistries.keySet()) {
            assertThat(limitAt(vm)).isEmpty();
        }
    }

    @Test
    void answerToARequestSentBeforeTheLimit_doesNotEndIt() {
        start(8);
        long beforeMs = mNowMs;
        run(200);
        reportLimit("vm-3", ONE, mNowMs);
        run(1_000);
        reportLimit("vm-3", OptionalDouble.empty(), beforeMs);
        reportLimit("vm-5", OptionalDouble.empty(), beforeMs);
        run(1_000);
        assertThat(limitAt("vm-3")).isEqualTo(ONE);
        assertThat(limitAt("vm-5")).isEqualTo(ONE);
    }

    @Test
    void vmThatStartsLater_receivesRateLimit() {
        start(8);
        reportLimit("vm-3", ONE, mNowMs);
        run(10_000);
        startVm(8);
        reportLimit("vm-3", ONE, mNowMs);
        run(1_000);
        assertThat(limitAt("vm-8")).isEqualTo(ONE);
    }

    @Test
    void rateLimit_doesNotApplyToTheNextIncarnation() {
        start(2);
        reportLimit("vm-0", ONE, mNowMs);
        assertThat(mTables.get("vm-0").get(new UpstreamIncarnation("i-1", 200)))
                .isEqualTo(UpstreamSignals.NONE);
    }
}
