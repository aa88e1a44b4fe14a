package org.hornbeampass.protocol.settings;

/**
 * One error in a settings text, with its position and a remedy.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param line the line of the value or field name, counted from 1
 * @param column the column, counted from 1
 * @param path the field's path, such as {@code upstreams[2].address}; empty if the fault concerns
 *     the whole text
 * @param problem what is wrong
 * @param remedy how to correct it
 */
public record Fault(int line, int column, String path, String problem, String remedy) {
    /**
     * Returns the fault as one line for people; {@code source} names the text, such as its file.
     */
    public String describe(String source) {
        String field = path.isEmpty() ? "" : path + ": ";
        return source + ":" + line + ":" + column + ": " + field + problem + "; " + remedy;
    }
}
