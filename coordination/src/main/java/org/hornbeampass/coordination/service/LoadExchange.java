package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Periodically reports this VM's load at each upstream to the other VMs.
 *
 * <p>Invariants: a VM that is not a relay sends at most {@link #MAX_MESSAGES_PER_S} messages a
 * second, independent of the number of VMs; a relay sends to its own failure domain and to one VM
 * of each other domain; a sum sent to a VM never contains that VM's own load. Confined to one
 * thread.
 */
public final class LoadExchange {
    /**
     * The interval between direct reports, in milliseconds; an engine reads 5,000 tokens in this
     * time.
     */
    private static final long DIRECT_PERIOD_MS = 100;

    /** The largest number of messages that a VM sends in a second; eight VMs don't reach it. */
    private static final long MAX_MESSAGES_PER_S = 80;

    private static final long SECOND_MS = 1_000;

    /**
     * The largest number of other VMs to which a VM can report directly within {@link
     * #MAX_MESSAGES_PER_S}. With more, each would receive reports less often: 95 VMs would send
     * 7,600 messages a second and receive one from each other VM only every 1.2 s, while a report
     * counts for 1 s.
     */
    static final int MAX_DIRECT_PEERS = (int) (MAX_MESSAGES_PER_S * DIRECT_PERIOD_MS / SECOND_MS);

    /**
     * The interval between reports to and from relays, in milliseconds. With it, 95 VMs in five
     * failure domains send 1,000 messages a second in total, and a report reaches all VMs after two
     * intervals.
     */
    private static final long RELAY_PERIOD_MS = 200;

    private final UpstreamRegistry mRegistry;
    private final PeerNetwork mPeers;
    private final Supplier<BroadcastPaths> mPaths;
    private long mNextSendMs;
    private boolean mLastReportEmpty = true;

    /**
     * Creates an exchange.
     *
     * @param registry provides this VM's load and stores that of the other VMs
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     */
    public LoadExchange(
            UpstreamRegistry registry, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mRegistry = registry;
        mPeers = peers;
        mPaths = paths;
    }

    /** Sends a report if one is due; while nothing is in progress, sends a single empty report. */
    public void tick(long nowMs) {
        if (nowMs < mNextSendMs) {
            return;
        }
        BroadcastPaths paths = mPaths.get();
        mNextSendMs = nowMs + (paths.relay().isPresent() ? RELAY_PERIOD_MS : DIRECT_PERIOD_MS);
        InFlightReport own = mRegistry.inFlight();
        boolean empty =
                own.items().isEmpty() && !(paths.isRelay() && mRegistry.fleetLoad().hasWork());
        if (!empty || !mLastReportEmpty) {
            send(paths, own);
        }
        mLastReportEmpty = empty;
    }

    private void send(BroadcastPaths paths, InFlightReport own) {
        if (paths.isRelay()) {
            sendAsRelay(paths, own);
            return;
        }
        List<String> recipients = paths.relay().map(List::of).orElse(paths.directPeers());
        recipients.forEach(n -> mPeers.send(n, own));
    }

    /**
     * Sends the load of all VMs to this failure domain, and that of this failure domain to the
     * other relays.
     */
    private void sendAsRelay(BroadcastPaths paths, InFlightReport own) {
        FleetLoad load = mRegistry.fleetLoad();
        for (String vm : paths.directPeers()) {
            mPeers.send(vm, load.sumWithout(vm, own));
        }
        InFlightReport domain = load.sumOf(paths.directPeers(), own);
        paths.otherRelays().forEach(r -> mPeers.send(r, domain));
    }

    /** Stores another VM's report. */
    public void onReport(
            long nowMs, VmId from, InFlightReport report, Consumer<PeerMessage> reply) {
        mRegistry.fleetLoad().onReport(nowMs, from.name(), report);
    }
}
