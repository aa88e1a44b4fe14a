package org.hornbeampass.transport.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Puts labels into the names of Dropwizard's metrics, which have none of their own.
 *
 * <p>Invariant: equal labels give equal names. Stateless; safe for use by any thread.
 */
public final class MetricLabels {
    private MetricLabels() {}

    /**
     * Returns a metric's name with labels, such as {@code requests{organisation="a"}}, which {@link
     * MetricsText} understands. Use labels of few values only.
     */
    public static String name(String base, Map<String, String> labels) {
        if (labels.isEmpty()) {
            return base;
        }
        return base
                + new TreeMap<>(labels)
                        .entrySet().stream()
                                .map(e -> e.getKey() + "=\"" + escape(e.getValue()) + "\"")
                                .collect(Collectors.joining(",", "{", "}"));
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
