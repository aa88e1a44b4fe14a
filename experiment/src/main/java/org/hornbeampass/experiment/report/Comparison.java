package org.hornbeampass.experiment.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Two results side by side: both raw figures and the ratio of the new one to the old.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rows one row for each figure of either
 */
public record Comparison(List<Row> rows) {
    /** Copies the list. */
    public Comparison {
        rows = List.copyOf(rows);
    }

    /**
     * One figure.
     *
     * @param name its name
     * @param before the old one; empty where there was none
     * @param after the new one; empty where there is none
     */
    public record Row(String name, Optional<Double> before, Optional<Double> after) {
        /** Returns the new one over the old one; empty where that is no number. */
        public Optional<Double> ratio() {
            return before.filter(b -> b != 0).flatMap(b -> after.map(a -> a / b));
        }
    }

    /** Compares two results. */
    public static Comparison of(Result before, Result after) {
        TreeSet<String> names = new TreeSet<>(before.figures().keySet());
        names.addAll(after.figures().keySet());
        List<Row> rows = new ArrayList<>();
        for (String name : names) {
            rows.add(
                    new Row(
                            name,
                            Optional.ofNullable(before.figures().get(name)),
                            Optional.ofNullable(after.figures().get(name))));
        }
        return new Comparison(rows);
    }

    /** Returns the rows as lines of a table. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(Locale.ROOT, "%-32s %14s %14s %8s", "", "before", "after", "ratio"));
        for (Row row : rows) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%-32s %14s %14s %8s",
                            row.name(),
                            text(row.before()),
                            text(row.after()),
                            text(row.ratio())));
        }
        return lines;
    }

    private static String text(Optional<Double> value) {
        return value.map(v -> String.format(Locale.ROOT, "%.2f", v)).orElse("-");
    }
}
