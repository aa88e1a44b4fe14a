package org.hornbeampass.cli.command;

import org.hornbeampass.cli.output.TextTable;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts in spans of time how requests ended, by the cause where they were not served.
 *
 * <p>Only what the logs hold is counted: lines on good answers are written up to a rate. Not
 * thread-safe.
 */
final class LossTable {
    private static final long SECOND_MS = 1_000;

    /**
     * One span of time.
     *
     * @param second when it begins, in seconds after the first request
     * @param answered how many requests were answered
     * @param lost how many were not, by cause
     */
    record Span(long second, int answered, Map<LossCause, Integer> lost) {}

    private final long mSpanMs;
    private final List<LogLine> mEnds = new ArrayList<>();

    /** Makes an empty table with spans of a length in seconds. */
    LossTable(long spanSeconds) {
        mSpanMs = spanSeconds * SECOND_MS;
    }

    /** Takes a decision; those that end no request are passed over. */
    void take(LogLine line) {
        if (line.kind().equals("ended")) {
            mEnds.add(line);
        }
    }

    /** Returns the spans in which any request ended, in order. */
    List<Span> spans() {
        long firstMs = mEnds.stream().mapToLong(LogLine::atMs).min().orElse(0);
        Map<Long, List<LogLine>> bySpan = new TreeMap<>();
        for (LogLine end : mEnds) {
            long number = (end.atMs() - firstMs) / mSpanMs;
            bySpan.computeIfAbsent(number, n -> new ArrayList<>()).add(end);
        }
        return bySpan.entrySet().stream()
                .map(e -> span(e.getKey() * mSpanMs / SECOND_MS, e.getValue()))
                .toList();
    }

    private static Span span(long second, List<LogLine> ends) {
        Map<LossCause, Integer> lost = new EnumMap<>(LossCause.class);
        int answered = 0;
        for (LogLine end : ends) {
            Optional<LossCause> cause = LossCause.of(end);
            cause.ifPresent(c -> lost.merge(c, 1, Integer::sum));
            answered += cause.isEmpty() ? 1 : 0;
        }
        return new Span(second, answered, lost);
    }

    /** Returns the spans as a table with a column for each cause that was seen. */
    static TextTable text(List<Span> spans) {
        List<LossCause> seen =
                List.of(LossCause.values()).stream()
                        .filter(c -> spans.stream().anyMatch(s -> s.lost().containsKey(c)))
                        .toList();
        List<String> titles = new ArrayList<>(List.of("from second", "answered"));
        seen.forEach(c -> titles.add(c.title()));
        TextTable table = new TextTable(titles.toArray(String[]::new));
        for (Span span : spans) {
            List<Object> cells = new ArrayList<>(List.of(span.second(), span.answered()));
            seen.forEach(c -> cells.add(span.lost().getOrDefault(c, 0)));
            table.row(cells.toArray());
        }
        return table;
    }
}
