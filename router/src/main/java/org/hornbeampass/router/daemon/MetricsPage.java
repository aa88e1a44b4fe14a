package org.hornbeampass.router.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Writes a registry in the text format that scrapers read.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class MetricsPage {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsPage() {}

    static byte[] of(MetricRegistry registry) {
        StringBuilder page = new StringBuilder();
        for (Map.Entry<String, Counter> each : registry.getCounters().entrySet()) {
            line(page, each.getKey(), "", each.getValue().getCount());
        }
        for (Map.Entry<String, Meter> each : registry.getMeters().entrySet()) {
            line(page, each.getKey(), "_total", each.getValue().getCount());
        }
        for (Map.Entry<String, Gauge<?>> each : gauges(registry)) {
            if (each.getValue().getValue() instanceof Number number) {
                line(page, each.getKey(), "", number.doubleValue());
            }
        }
        for (Map.Entry<String, Histogram> each : registry.getHistograms().entrySet()) {
            histogram(page, each.getKey(), each.getValue());
        }
        return page.toString().getBytes(StandardCharsets.UTF_8);
    }

    @SuppressWarnings({"rawtypes", "unchecked"})
    private static Iterable<Map.Entry<String, Gauge<?>>> gauges(MetricRegistry registry) {
        return (Iterable) registry.getGauges().entrySet();
    }

    private static void histogram(StringBuilder page, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            line(page, name, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
        }
        line(page, name, "_count", histogram.getCount());
    }

    private static void line(StringBuilder page, String name, String suffix, Number value) {
        page.append("hornbeampass_")
                .append(name.replaceAll("[^a-zA-Z0-9_]", "_"))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
