package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.CallPriority;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.router.serve.FlowRunner;
import org.hornbeampass.router.upstream.LoadPoller;
import org.hornbeampass.transport.peer.PeerCounters;

import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Registers the metrics of a router's coordination components.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ControlMetrics {
    private ControlMetrics() {}

    static void register(
            MetricRegistry registry,
            Coordination coordination,
            PeerCounters peers,
            LoadPoller loadPoller,
            FlowRunner runner) {
        for (PlatformCall.Kind kind : PlatformCall.Kind.values()) {
            for (CallPriority priority : CallPriority.values()) {
                String name = metricName(kind) + "." + metricName(priority);
                gauge(
                        registry,
                        "platform.sent." + name,
                        () -> coordination.calls().sent(kind, priority));
                gauge(
                        registry,
                        "platform.refused." + name,
                        () -> coordination.calls().refused(kind, priority));
            }
            gauge(
                    registry,
                    "platform.queued." + metricName(kind),
                    () -> coordination.calls().queued(kind));
        }
        gauge(registry, "control.peer_bytes_sent", peers::bytesSent);
        gauge(registry, "control.peer_bytes_received", peers::bytesReceived);
        gauge(registry, "control.upstream_news_bytes", loadPoller::bytes);
        gauge(registry, "requests.running", runner::runningCount);
        gauge(registry, "requests.waiting", () -> coordination.queues().waitingCount());
        gauge(registry, "bills.not_durable", () -> coordination.requests().pendingCount());
        gauge(registry, "config.revision", () -> coordination.config().snapshot().revision());
        gauge(registry, "members.live", () -> coordination.membership().view().live().size());
    }

    private static String metricName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void gauge(MetricRegistry registry, String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }
}
