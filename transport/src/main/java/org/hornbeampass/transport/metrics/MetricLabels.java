package org.hornbeampass.transport.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Encodes labels into the names of Dropwizard metrics, which don't support labels.
 *
 * <p>Invariant: equal labels give equal names, in whatever order they are given. Stateless; safe
 * for use by any thread.
 */
public final class MetricLabels {
    private MetricLabels() {}

    /**
     * Returns a metric's name with labels, such as {@code requests{organisation="a"}}, which {@link
     * MetricsText} parses. Use only labels with few distinct values, as each creates a series.
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
