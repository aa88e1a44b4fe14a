package org.hornbeampass.cli.output;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A table in plain text whose columns are as wide as their widest cell.
 *
 * <p>Invariant: each row has as many cells as there are titles. For use by one thread.
 */
public final class TextTable {
    private static final String GAP = "  ";

    private final List<String> mTitles;
    private final List<List<String>> mRows = new ArrayList<>();

    /** Makes a table with the given titles. */
    public TextTable(String... titles) {
        mTitles = List.of(titles);
    }

    /** Adds a row; a number is aligned to the right. */
    public TextTable row(Object... cells) {
        if (cells.length != mTitles.size()) {
            throw new IllegalArgumentException(
                    "row has " + cells.length + " cells, table has " + mTitles.size());
        }
        mRows.add(Arrays.stream(cells).map(TextTable::text).toList());
        return this;
    }

    /** Returns the table's lines, each ended by a line feed. */
    public String text() {
        StringBuilder out = new StringBuilder();
        append(out, mTitles);
        mRows.forEach(row -> append(out, row));
        return out.toString();
    }

    private void append(StringBuilder out, List<String> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            String cell = cells.get(column);
            String padding = " ".repeat(width(column) - cell.length());
            line.append(column == 0 ? "" : GAP);
            line.append(numeric(column) ? padding + cell : cell + padding);
        }
        out.append(line.toString().stripTrailing()).append('\n');
    }

    private int width(int column) {
        int widest = mTitles.get(column).length();
        for (List<String> row : mRows) {
            widest = Math.max(widest, row.get(column).length());
        }
        return widest;
    }

    private boolean numeric(int column) {
        return !mRows.isEmpty()
                && mRows.stream().allMatch(r -> r.get(column).matches("-?[0-9][0-9,.]*[%x]?|-"));
    }

    private static String text(Object cell) {
        if (cell instanceof Long || cell instanceof Integer) {
            return String.format(Locale.ROOT, "%,d", ((Number) cell).longValue());
        }
        return String.valueOf(cell);
    }
}
