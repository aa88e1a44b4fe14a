package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.coordination.stream.OriginRequest;
import org.hornbeampass.coordination.stream.StreamBegun;
import org.hornbeampass.coordination.stream.StreamHistory;
import org.hornbeampass.coordination.stream.StreamOrigins;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.router.relay.ViewStatus;
import org.hornbeampass.transport.peer.PeerTransport;

import java.util.random.RandomGenerator;

/**
 * What a VM knows of where streams began: in its own memory, at other VMs and in the store.
 *
 * <p>Confined to one event loop, except for its construction.
 */
final class StreamServices {
    private final StreamOrigins mOrigins;
    private final StreamHistory mHistory;

    /**
     * Creates the services and connects them to the other VMs and the store.
     *
     * @param peers the connections to the other VMs
     * @param fleet the VMs of the fleet
     * @param store the store
     * @param upstreams the upstreams that this VM observes
     * @param views whether this VM may lack upstreams at present
     * @param metrics receives the number of origins that are stored here
     * @param random spreads the calls of several VMs
     * @param log receives a line for each change of a record
     */
    StreamServices(
            PeerTransport peers,
            FleetView fleet,
            EraGuard store,
            UpstreamRegistry upstreams,
            ViewStatus views,
            MetricRegistry metrics,
            RandomGenerator random,
            RelayLog log) {
        mOrigins = new StreamOrigins(peers, fleet::otherLiveMembers, fleet::otherMembers);
        mHistory =
                new StreamHistory(
                        store,
                        fleet.ownName(),
                        fleet::sharingVmCount,
                        upstreams.versions(),
                        views::upstreamsMayBeStale,
                        () -> fleet.isRecordOwner("stream-versions"),
                        random,
                        new StreamRecordLog(log));
        metrics.register("stream_origins", (Gauge<Integer>) mOrigins::size);
        store.addListener(mHistory);
        peers.on(StreamBegun.class, mOrigins::onReport);
        peers.on(OriginRequest.class, mOrigins::onRequest);
    }

    StreamOrigins origins() {
        return mOrigins;
    }

    StreamHistory history() {
        return mHistory;
    }

    void tick(long nowMs) {
        mOrigins.tick(nowMs);
        mHistory.tick(nowMs);
    }
}
