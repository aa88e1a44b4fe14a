package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Tells the other VMs, again and again, what this one has in progress at the upstreams.
 *
 * <p>Invariants: a VM that is no relay sends at most {@link #MAX_MESSAGES_PER_S} messages a second,
 * however many VMs there are; a relay sends to its own failure domain and to one VM of each other
 * domain; what a VM told is in no sum that comes back to it. Confined to one thread.
 */
public final class LoadExchange {
    /**
     * How often others are told directly, in milliseconds: an engine reads 5,000 tokens meanwhile.
     */
    private static final long DIRECT_PERIOD_MS = 100;

    /** How many messages a VM sends in a second at most: a bound that eight VMs don't reach. */
    private static final long MAX_MESSAGES_PER_S = 80;

    private static final long SECOND_MS = 1_000;

    /**
     * To how many others a VM can tell all it has within its messages. Beyond that each was heard
     * less often: 95 VMs would send 7,600 messages in a second, and hear each other every 1.2 s,
     * where a report counts for one.
     */
    static final int MAX_DIRECT_PEERS = (int) (MAX_MESSAGES_PER_S * DIRECT_PERIOD_MS / SECOND_MS);

    /**
     * How often relays are told, and tell, in milliseconds. 95 VMs in five domains send 1,000
     * messages in a second together, and what one tells is with all others after two such spans.
     */
    private static final long RELAY_PERIOD_MS = 200;

    private final UpstreamRegistry mRegistry;
    private final PeerNetwork mPeers;
    private final Supplier<BroadcastPaths> mPaths;
    private long mNextSendMs;
    private boolean mLastReportEmpty = true;

    /**
     * Makes an exchange.
     *
     * @param registry what is in progress here, and takes in what is elsewhere
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     */
    public LoadExchange(
            UpstreamRegistry registry, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mRegistry = registry;
        mPeers = peers;
        mPaths = paths;
    }

    /** Tells the others where it is time; where nothing is in progress, they are told so once. */
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

    /** Tells the own domain of all VMs, and the other relays of the own domain. */
    private void sendAsRelay(BroadcastPaths paths, InFlightReport own) {
        FleetLoad load = mRegistry.fleetLoad();
        for (String vm : paths.directPeers()) {
            mPeers.send(vm, load.sumWithout(vm, own));
        }
        InFlightReport domain = load.sumOf(paths.directPeers(), own);
        paths.otherRelays().forEach(r -> mPeers.send(r, domain));
    }

    /** Takes another VM's report. */
    public void onReport(
            long nowMs, VmId from, InFlightReport report, Consumer<PeerMessage> reply) {
        mRegistry.fleetLoad().onReport(nowMs, from.name(), report);
    }
}
