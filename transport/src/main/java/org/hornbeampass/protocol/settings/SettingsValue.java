package org.hornbeampass.protocol.settings;

import java.util.List;
import java.util.Map;

/**
 * One value of a settings text, with its position.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the kind of the value
 * @param line the line where it starts, counted from 1
 * @param column the column where it starts, counted from 1
 * @param text its text; empty for an object or a list
 * @param fields its fields by name, in the order of the text; empty unless it is an object
 * @param items its items in order; empty unless it is a list
 */
record SettingsValue(
        Kind kind,
        int line,
        int column,
        String text,
        Map<String, Field> fields,
        List<SettingsValue> items) {
    /** The kind of a value, with its name in messages. */
    enum Kind {
        OBJECT("an object"),
        LIST("a list"),
        TEXT("a string"),
        NUMBER("a number"),
        BOOLEAN("true or false"),
        NULL("null");

        private final String mLabel;

        Kind(String label) {
            mLabel = label;
        }

        String label() {
            return mLabel;
        }
    }

    /** A field of an object, with the position of its name. */
    record Field(int line, int column, SettingsValue value) {}

    static SettingsValue scalar(Kind kind, int line, int column, String text) {
        return new SettingsValue(kind, line, column, text, Map.of(), List.of());
    }

    static SettingsValue object(int line, int column, Map<String, Field> fields) {
        return new SettingsValue(Kind.OBJECT, line, column, "", fields, List.of());
    }

    static SettingsValue list(int line, int column, List<SettingsValue> items) {
        return new SettingsValue(Kind.LIST, line, column, "", Map.of(), items);
    }
}
