package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.ModelExchange;
import org.hornbeampass.coordination.service.RoutingSettings;
import org.hornbeampass.coordination.service.UpstreamModelReport;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.transport.peer.PeerTransport;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Connects the models of the upstreams to the messages, the log and the metrics of a daemon.
 *
 * <p>Confined to one event loop, except for its construction.
 */
final class LearntRouting {
    private final ModelExchange mExchange;

    LearntRouting(
            UpstreamRegistry registry,
            PeerTransport peers,
            Supplier<BroadcastPaths> paths,
            RelayLog log,
            MetricRegistry metrics) {
        mExchange = new ModelExchange(registry.models(), peers, paths);
        registry.models().setListener(new SpeedLog(log));
        peers.on(UpstreamModelReport.class, mExchange::onReport);
        metrics.register("learnt_upstreams", (Gauge<Integer>) registry.models()::learnt);
    }

    /** Returns what the choice of an upstream weighs; empty if the settings enable no models. */
    static Optional<RoutingSettings> settings(RelayDaemonSettings settings) {
        return settings.load()
                .routing()
                .map(r -> new RoutingSettings(settings.domain(), r.crossDomainMs()));
    }

    /** Reports to the other VMs at an interval in milliseconds. */
    void start(TickLoop ticks, long intervalMs) {
        ticks.every(intervalMs, mExchange::tick);
    }
}
