package org.hornbeampass.protocol.settings;

import java.util.List;
import java.util.Map;

/**
 * One value of a settings text, with its place.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what it is
 * @param line the line, from 1
 * @param column the column, from 1
 * @param text its text, for anything but an object or a list
 * @param fields its fields, for an object
 * @param items its items, for a list
 */
record SettingsValue(
        Kind kind,
        int line,
        int column,
        String text,
        Map<String, Field> fields,
        List<SettingsValue> items) {
    /** What a value is, as messages call it. */
    enum Kind {
        OBJECT("an object"),
        LIST("a list"),
        TEXT("a text"),
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

    /** A field of an object, with the place of its name. */
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
