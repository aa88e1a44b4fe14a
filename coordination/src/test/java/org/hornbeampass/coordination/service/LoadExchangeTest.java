package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.SendOnlyPeerNetwork;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Tests which load reports a VM sends to the other VMs, and how often. */
class LoadExchangeTest {
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, Optional.empty());

    private final UpstreamRegistry mRegistry = new UpstreamRegistry(new Random(1), () -> 3);
    private final List<String> mRecipients = new ArrayList<>();
    private final List<InFlightReport> mReports = new ArrayList<>();
    private BroadcastPaths mPaths =
            new BroadcastPaths("vm-1", Optional.empty(), List.of("vm-2", "vm-3"), List.of());
    private final LoadExchange mExchange =
            new LoadExchange(mRegistry, new Recorder(), () -> mPaths);

    /** Records the messages and their recipients. */
    private final class Recorder extends SendOnlyPeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            mRecipients.add(vmName);
            mReports.add((InFlightReport) message);
        }
    }

    private UpstreamInstance upstream() {
        mRegistry.onEntry(
                0,
                new UpstreamEntry(
                        "a", OptionalLong.empty(), "s", "a:80", new FailureDomain("d"), 6, false));
        return mRegistry.choose(0, SERVICE, Prompt.NONE, Set.of()).orElseThrow().instance();
    }

    @Test
    void requestInProgress_isReportedToAllOtherVms() {
        upstream().onSent(700, t -> {});
        mExchange.tick(0);
        assertThat(mRecipients).containsExactly("vm-2", "vm-3");
        assertThat(mReports.get(0).items()).containsExactly(new InFlightReport.Item("a", 700, 1));
    }

    @Test
    void vmWithNothingInProgress_sendsOneEmptyReport() {
        IncarnationListener request = t -> {};
        UpstreamInstance upstream = upstream();
        upstream.onSent(0, request);
        mExchange.tick(0);
        upstream.onEnded(request);
        mExchange.tick(100);
        mExchange.tick(200);
        assertThat(mReports).hasSize(4);
        assertThat(mReports.get(3).items()).isEmpty();
    }

    @Test
    void largeFleet_doesNotIncreaseMessagesPerVm() {
        upstream().onSent(700, t -> {});
        List<String> near = IntStream.range(0, 78).mapToObj(i -> "vm-" + i).toList();
        mPaths = new BroadcastPaths("vm-1", Optional.of("vm-9"), near, List.of());
        for (long t = 0; t < 20_000; t += 100) {
            mExchange.tick(t);
        }
        assertThat(mRecipients).hasSize(100).containsOnly("vm-9");
    }

    @Test
    void receivedReport_isCounted() {
        InFlightReport report = new InFlightReport(List.of(new InFlightReport.Item("a", 9, 2)), 1);
        mExchange.onReport(0, new VmId("vm-2", 1), report, r -> {});
        assertThat(mRegistry.fleetLoad().at("a").requests()).isEqualTo(2);
    }
}
