package org.hornbeampass.cli.output;

import org.hornbeampass.protocol.admin.AdminJson;

import java.util.function.Supplier;

/**
 * How results are printed.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum OutputFormat {
    /** Columns for people. */
    TABLE {
        @Override
        public String render(Object value, Supplier<String> table) {
            return table.get();
        }
    },
    /** The API's own JSON, for programs. */
    JSON {
        @Override
        public String render(Object value, Supplier<String> table) {
            return AdminJson.pretty(value) + "\n";
        }
    };

    /**
     * Returns the text of a result, ended by a line feed.
     *
     * @param value the result
     * @param table makes its table
     */
    public abstract String render(Object value, Supplier<String> table);

    @Override
    public String toString() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
