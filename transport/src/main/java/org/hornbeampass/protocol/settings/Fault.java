package org.hornbeampass.protocol.settings;

/**
 * One thing that is wrong with a settings text.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param path the field's path, such as {@code upstreams[2].address}; empty for the whole text
 * @param problem what is wrong
 * @param remedy how to mend it
 */
public record Fault(int line, int column, String path, String problem, String remedy) {
    /** Returns the fault as one line, for a person. */
    public String describe(String source) {
        String field = path.isEmpty() ? "" : path + ": ";
        return source + ":" + line + ":" + column + ": " + field + problem + "; " + remedy;
    }
}
