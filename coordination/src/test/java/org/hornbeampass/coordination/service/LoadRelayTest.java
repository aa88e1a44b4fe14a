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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

/** Tests that relays give each VM of a large fleet the load of all others with few messages. */
class LoadRelayTest {
    private static final int VMS = 95;
    private static final int DOMAINS = 5;
    private static final long TOKENS = 700;
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, Optional.empty());

    private final Map<String, LoadExchange> mExchanges = new HashMap<>();
    private final Map<String, UpstreamRegistry> mRegistries = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private List<Member> mUp = List.of();
    private int mMessages;
    private long mNowMs;

    /** Delivers messages at once to VMs that are up. */
    private final class Peers extends SendOnlyPeerNetwork {
        private final VmId mSelf;

        Peers(VmId self) {
            mSelf = self;
        }

        @Override
        public void send(String vmName, PeerMessage message) {
            mMessages++;
            if (mUp.stream().anyMatch(m -> m.name().equals(vmName))) {
                mExchanges
                        .get(vmName)
                        .onReport(mNowMs, mSelf, (InFlightReport) message, reply -> {});
            }
        }
    }

    LoadRelayTest() {
        for (int i = 0; i < VMS; i++) {
            mMembers.add(TestMembers.live("vm-" + i, i % DOMAINS));
        }
        mUp = mMembers;
        for (Member each : mMembers) {
            add(each, () -> BroadcastPaths.choose(each, mUp));
        }
    }

    private void add(Member self, Supplier<BroadcastPaths> paths) {
        UpstreamRegistry registry = new UpstreamRegistry(new Random(1), () -> VMS);
        registry.onEntry(
                0,
                new UpstreamEntry(
                        "a", OptionalLong.empty(), "s", "a:80", new FailureDomain("d"), 6, false));
        registry.choose(0, SERVICE, Prompt.NONE, Set.of())
                .orElseThrow()
                .instance()
                .onSent(TOKENS, t -> {});
        mRegistries.put(self.name(), registry);
        mExchanges.put(self.name(), new LoadExchange(registry, new Peers(self.vm()), paths));
    }

    private void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += 100) {
            mUp.forEach(m -> mExchanges.get(m.name()).tick(mNowMs));
            mUp.forEach(m -> mRegistries.get(m.name()).tick(mNowMs));
        }
    }

    @Test
    void eachVm_receivesTheLoadOfAllOthers() {
        run(1_000);
        for (UpstreamRegistry registry : mRegistries.values()) {
            assertThat(registry.fleetLoad().reportingVms()).isEqualTo(VMS - 1);
            assertThat(registry.fleetLoad().at("a").requests()).isEqualTo(VMS - 1);
            assertThat(registry.fleetLoad().at("a").unreadTokens()).isEqualTo((VMS - 1) * TOKENS);
        }
    }

    @Test
    void aHundredVms_sendAThousandMessagesASecond() {
        run(1_000);
        mMessages = 0;
        run(10_000);
        // Without relays, each VM would send 80 messages a second, 7,600 in total.
        assertThat(mMessages / 10).isEqualTo(1_000);
    }

    @Test
    void failedRelay_isReplacedByAnother() {
        run(1_000);
        String relay = BroadcastPaths.choose(mMembers.get(0), mMembers).relay().orElseThrow();
        mUp = mMembers.stream().filter(m -> !m.name().equals(relay)).toList();
        run(2_000);
        for (Member each : mUp) {
            FleetLoad load = mRegistries.get(each.name()).fleetLoad();
            assertThat(load.at("a").requests()).isEqualTo(VMS - 2);
        }
    }

    @Test
    void twoRelaysOfOneDomain_doNotAddEachOthersSums() {
        List<Member> domain =
                mMembers.stream().filter(m -> m.domain().value().equals("d0")).toList();
        String relay = BroadcastPaths.choose(domain.get(0), mMembers).relay().orElseThrow();
        Member second =
                domain.stream().filter(m -> !m.name().equals(relay)).findFirst().orElseThrow();
        BroadcastPaths before = BroadcastPaths.choose(second, mMembers);
        BroadcastPaths asRelay =
                new BroadcastPaths(
                        second.name(),
                        Optional.of(second.name()),
                        before.directPeers(),
                        before.otherRelays());
        mExchanges.put(
                second.name(),
                new LoadExchange(
                        mRegistries.get(second.name()), new Peers(second.vm()), () -> asRelay));
        run(20_000);
        for (Member each : mMembers) {
            boolean near = each.domain().equals(second.domain());
            int reported = mRegistries.get(each.name()).fleetLoad().at("a").requests();
            // Both relays report to their own domain, but neither forwards a sum that contains the
            // other's.
            assertThat(reported).isLessThanOrEqualTo(near ? 2 * VMS : VMS);
        }
    }

    @Test
    void smallFleet_reportsDirectly() {
        BroadcastPaths paths = BroadcastPaths.choose(mMembers.get(0), mMembers.subList(0, 8));
        assertThat(paths.relay()).isEmpty();
        assertThat(paths.directPeers()).hasSize(7);
    }
}
