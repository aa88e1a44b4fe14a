package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.transport.metrics.MetricsText;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Answers with the present values of all metrics.
 *
 * <p>Confined to one event loop.
 */
final class MetricsHandler implements CallerHandler {
    private final MetricRegistry mMetrics;
    private final BudgetMetrics mBudgetMetrics;

    MetricsHandler(MetricRegistry metrics, BudgetMetrics budgetMetrics) {
        mMetrics = metrics;
        mBudgetMetrics = budgetMetrics;
    }

    @Override
    public CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head) {
        mBudgetMetrics.refresh();
        caller.respond(
                200,
                Map.of("content-type", MetricsText.CONTENT_TYPE),
                MetricsText.render(mMetrics).getBytes(StandardCharsets.UTF_8));
        return CallerListener.IGNORING;
    }
}
