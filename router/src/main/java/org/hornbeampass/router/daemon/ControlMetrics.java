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
 * Puts the figures of a router's coordination parts into its registry.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ControlMetrics {
    private ControlMetrics() {}

    static void register(
            MetricRegistry registry,
            Coordination parts,
            PeerCounters peers,
            LoadPoller news,
            FlowRunner runner) {
        for (PlatformCall.Kind kind : PlatformCall.Kind.values()) {
            for (CallPriority priority : CallPriority.values()) {
                String name = name(kind) + "." + name(priority);
                gauge(registry, "platform.sent." + name, () -> parts.calls().sent(kind, priority));
                gauge(
                        registry,
                        "platform.refused." + name,
                        () -> parts.calls().refused(kind, priority));
            }
            gauge(registry, "platform.queued." + name(kind), () -> parts.calls().queued(kind));
        }
        gauge(registry, "control.peer_bytes_sent", peers::bytesSent);
        gauge(registry, "control.peer_bytes_received", peers::bytesReceived);
        gauge(registry, "control.upstream_news_bytes", news::bytes);
        gauge(registry, "requests.running", runner::runningCount);
        gauge(registry, "requests.waiting", () -> parts.queues().waitingCount());
        gauge(registry, "bills.not_durable", () -> parts.requests().pendingCount());
        gauge(registry, "config.revision", () -> parts.config().snapshot().revision());
        gauge(registry, "members.live", () -> parts.membership().view().live().size());
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void gauge(MetricRegistry registry, String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }
}
