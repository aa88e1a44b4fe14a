package org.hornbeampass.experiment.membership;

import java.util.List;
import java.util.Locale;

/**
 * Formats medians and worst values of samples.
 *
 * <p>Stateless; thread-safe.
 */
final class Figures {
    private Figures() {}

    static double median(List<Double> samples) {
        List<Double> sorted = samples.stream().sorted().toList();
        return sorted.isEmpty() ? Double.NaN : sorted.get(sorted.size() / 2);
    }

    static double worst(List<Double> samples) {
        return samples.stream().mapToDouble(Double::doubleValue).max().orElse(Double.NaN);
    }

    static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
