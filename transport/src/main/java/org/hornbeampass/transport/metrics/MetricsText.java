package org.hornbeampass.transport.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Writes a Dropwizard registry in the Prometheus text format.
 *
 * <p>Invariants: names start with {@code hornbeampass_}, counts of events end in {@code _total},
 * and timers are in seconds and end in {@code _seconds}; the samples of one metric follow its
 * {@code TYPE} line, and metrics with few samples come first: a collector that keeps only the
 * beginning of a page then loses metrics with many series, such as one series for each
 * organisation, and not the others. Stateless; safe for use by any thread.
 */
public final class MetricsText {
    /** The content type of the rendered text. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "hornbeampass_";
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MAX_WHOLE = 1e15;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};

    private MetricsText() {}

    /** Returns the text for all metrics of a registry; gauges that aren't numbers are left out. */
    public static String render(MetricRegistry registry) {
        Map<String, StringBuilder> families = new TreeMap<>();
        new TreeMap<>(registry.getMetrics())
                .forEach((name, metric) -> addMetric(families, name, metric));
        StringBuilder text = new StringBuilder();
        families.entrySet().stream()
                .sorted(
                        Comparator.comparing(
                                f -> countLines(f.getValue()))) // Stable; ties by name.
                .forEach(f -> text.append(f.getKey()).append(f.getValue()));
        return text.toString();
    }

    private static long countLines(CharSequence text) {
        return text.chars().filter(c -> c == '\n').count();
    }

    private static void addMetric(Map<String, StringBuilder> families, String name, Metric metric) {
        int brace = name.indexOf('{');
        String base = PREFIX + sanitize(brace < 0 ? name : name.substring(0, brace));
        String labels = brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
        if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number number) {
                appendSample(family(families, base, "gauge"), base, labels, number);
            }
        } else if (metric instanceof Timer timer) {
            String seconds = base + "_seconds";
            appendSummary(
                    family(families, seconds, "summary"),
                    seconds,
                    labels,
                    timer.getSnapshot(),
                    timer.getCount(),
                    NS_PER_SECOND);
        } else if (metric instanceof Histogram histogram) {
            appendSummary(
                    family(families, base, "summary"),
                    base,
                    labels,
                    histogram.getSnapshot(),
                    histogram.getCount(),
                    1);
        } else if (metric instanceof Counting counting) {
            String total = base + "_total";
            appendSample(family(families, total, "counter"), total, labels, counting.getCount());
        }
    }

    private static StringBuilder family(
            Map<String, StringBuilder> families, String name, String type) {
        return families.computeIfAbsent(
                "# TYPE " + name + " " + type + "\n", header -> new StringBuilder());
    }

    private static void appendSummary(
            StringBuilder out,
            String name,
            String labels,
            Snapshot snapshot,
            long count,
            double scale) {
        String start = labels.isEmpty() ? "" : labels + ",";
        for (double quantile : QUANTILES) {
            String withQuantile = start + "quantile=\"" + quantile + "\"";
            appendSample(out, name, withQuantile, snapshot.getValue(quantile) / scale);
        }
        appendSample(out, name + "_count", labels, count);
    }

    private static void appendSample(StringBuilder out, String name, String labels, Number value) {
        out.append(name);
        if (!labels.isEmpty()) {
            out.append('{').append(labels).append('}');
        }
        out.append(' ').append(format(value)).append('\n');
    }

    private static String format(Number number) {
        if (number instanceof Long || number instanceof Integer) {
            return number.toString();
        }
        double value = number.doubleValue();
        boolean whole = value == Math.rint(value) && Math.abs(value) < MAX_WHOLE;
        return whole ? Long.toString((long) value) : Double.toString(value);
    }

    private static String sanitize(String name) {
        return name.replaceAll("[^a-zA-Z0-9_]", "_");
    }
}
