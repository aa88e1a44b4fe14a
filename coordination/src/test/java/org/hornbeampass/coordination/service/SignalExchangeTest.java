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

/** Checks that what one VM is told by an upstream, all VMs know soon. */
class SignalExchangeTest {
    private static final int DOMAINS = 5;
    private static final UpstreamSignals LEAVES = new UpstreamSignals(true, RateLimit.UNKNOWN);
    private static final OptionalDouble ONE = OptionalDouble.of(1);
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, Optional.empty());

    private final Map<String, UpstreamRegistry> mBoards = new HashMap<>();
    private final Map<String, SignalTable> mTables = new HashMap<>();
    private final Map<String, SignalExchange> mExchanges = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final Map<String, String> mToldBy = new HashMap<>();
    private int mMessages;
    private long mNowMs = 1_000;

    /** Hands messages straight to the other VMs. */
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

    /** Notes who told of an upstream. */
    private final class Listener implements SignalListener {
        private final String mSelf;

        Listener(String self) {
            mSelf = self;
        }

        @Override
        public void onLeaving(long nowMs, UpstreamIncarnation upstream, String toldBy) {
            mToldBy.put(mSelf, toldBy);
        }

        @Override
        public void onRateLimit(
                long nowMs, UpstreamIncarnation upstream, OptionalDouble limit, String toldBy) {
            mToldBy.put(mSelf, toldBy);
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
        UpstreamRegistry board = new UpstreamRegistry(new Random(1), () -> 8, table, SendGate.OPEN);
        mBoards.put(self.name(), board);
        mTables.put(self.name(), table);
        mExchanges.put(
                self.name(),
                new SignalExchange(
                        board,
                        table,
                        new Peers(self.vm()),
                        () -> BroadcastPaths.choose(self, mMembers),
                        new Listener(self.name())));
        show(self.name(), entry("i-1", 100, false));
        show(self.name(), entry("i-2", 100, false));
    }

    private static UpstreamEntry entry(String id, long bornMs, boolean leaving) {
        return new UpstreamEntry(
                id, OptionalLong.of(bornMs), "s", "a:80", new FailureDomain("d"), 6, leaving);
    }

    private void show(String vm, UpstreamEntry entry) {
        mBoards.get(vm).onEntry(mNowMs, entry);
    }

    private void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += 100) {
            mExchanges.values().forEach(e -> e.tick(mNowMs));
        }
    }

    private Optional<UpstreamInstance> choose(String vm, String... tried) {
        return mBoards.get(vm)
                .choose(mNowMs, SERVICE, Prompt.NONE, Set.of(tried))
                .map(UpstreamChoice::instance);
    }

    private void tell(String vm, String upstream) {
        UpstreamInstance told = choose(vm, upstream.equals("i-1") ? "i-2" : "i-1").orElseThrow();
        assertThat(told.id()).isEqualTo(upstream);
        mExchanges.get(vm).onAnswer(mNowMs, told, LEAVES);
    }

    private void nameLimit(String vm, OptionalDouble perSecond, long askedMs) {
        UpstreamInstance told = choose(vm, "i-2").orElseThrow();
        RateLimit limit = new RateLimit(perSecond, askedMs, mNowMs);
        mExchanges.get(vm).onAnswer(mNowMs, told, new UpstreamSignals(false, limit));
    }

    private OptionalDouble limitAt(String vm) {
        return mTables.get(vm).get(new UpstreamIncarnation("i-1", 100)).rateLimit().perSecond();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void answerThatOneVmGot_savesTheOthers(int vms) {
        start(vms);
        tell("vm-3", "i-1");
        run(1_000);
        for (String vm : mBoards.keySet()) {
            assertThat(choose(vm, "i-2")).isEmpty();
            assertThat(choose(vm, "i-1")).isPresent();
            assertThat(mToldBy.get(vm).isEmpty()).isEqualTo(vm.equals("vm-3"));
        }
    }

    @Test
    void entryThatIsStillReady_changesNothing() {
        start(8);
        tell("vm-3", "i-1");
        run(1_000);
        show("vm-5", entry("i-1", 100, false));
        assertThat(choose("vm-5", "i-2")).isEmpty();
    }

    @Test
    void laterIncarnation_isUsed() {
        start(8);
        tell("vm-3", "i-1");
        run(1_000);
        show("vm-5", entry("i-1", 200, false));
        assertThat(choose("vm-5", "i-2")).isPresent();
    }

    @Test
    void vmThatStartsLater_isToldToo() {
        start(8);
        tell("vm-3", "i-1");
        run(20_000);
        startVm(8);
        run(1_000);
        assertThat(choose("vm-8", "i-2")).isEmpty();
    }

    @Test
    void wordOfAnUpstreamThatIsNotListedYet_countsOnceItIs() {
        start(2);
        SignalReport.Item leaves =
                SignalReport.Item.of(mNowMs, new UpstreamIncarnation("i-9", 100), LEAVES);
        mExchanges.get("vm-0").onItem(mNowMs, mMembers.get(1).vm(), leaves);
        show("vm-0", entry("i-9", 100, false));
        assertThat(choose("vm-0", "i-1", "i-2")).isEmpty();
    }

    @Test
    void wordThatTheEntryRepeats_isToldNoMore() {
        start(8);
        tell("vm-3", "i-1");
        mBoards.keySet().forEach(vm -> show(vm, entry("i-1", 100, true)));
        run(5_000);
        mMessages = 0;
        run(20_000);
        assertThat(mMessages).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void rateLimitThatOneVmWasTold_isKnownToAllWithinASecond(int vms) {
        start(vms);
        nameLimit("vm-3", ONE, mNowMs);
        run(1_000);
        for (String vm : mBoards.keySet()) {
            assertThat(limitAt(vm)).isEqualTo(ONE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void rateLimitThatIsNamedNoMore_endsOnAllWithinAFewSeconds(int vms) {
        start(vms);
        nameLimit("vm-3", ONE, mNowMs);
        run(2_000);
        for (int i = 0; i < 5; i++) {
            nameLimit("vm-5", OptionalDouble.empty(), mNowMs - 50);
            run(500);
        }
        for (String vm : mBoards.keySet()) {
            assertThat(limitAt(vm)).isEmpty();
        }
    }

    @Test
    void answerToARequestFromBeforeTheLimit_doesNotEndIt() {
        start(8);
        long beforeMs = mNowMs;
        run(200);
        nameLimit("vm-3", ONE, mNowMs);
        run(1_000);
        nameLimit("vm-3", OptionalDouble.empty(), beforeMs);
        nameLimit("vm-5", OptionalDouble.empty(), beforeMs);
        run(1_000);
        assertThat(limitAt("vm-3")).isEqualTo(ONE);
        assertThat(limitAt("vm-5")).isEqualTo(ONE);
    }

    @Test
    void vmThatStartsLater_isToldOfARateLimit() {
        start(8);
        nameLimit("vm-3", ONE, mNowMs);
        run(10_000);
        startVm(8);
        nameLimit("vm-3", ONE, mNowMs);
        run(1_000);
        assertThat(limitAt("vm-8")).isEqualTo(ONE);
    }

    @Test
    void rateLimitOfAnIncarnation_doesNotHoldForTheNext() {
        start(2);
        nameLimit("vm-0", ONE, mNowMs);
        assertThat(mTables.get("vm-0").get(new UpstreamIncarnation("i-1", 200)))
                .isEqualTo(UpstreamSignals.NONE);
    }
}
