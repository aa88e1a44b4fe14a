package org.hornbeampass.router.relay;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * The fields of one log line, as members of a JSON object.
 *
 * <p>Invariant: what it renders can be put between the braces of an object, whatever the values
 * hold. Not thread-safe.
 */
public final class LogFields {
    private final StringBuilder mText = new StringBuilder(96);

    /** Adds a text. */
    public LogFields add(String name, String value) {
        appendName(name).append('"');
        JsonStringEncoder.getInstance().quoteAsString(value, mText);
        mText.append('"');
        return this;
    }

    /** Adds a number. */
    public LogFields add(String name, long value) {
        appendName(name).append(value);
        return this;
    }

    /** Adds a truth value. */
    public LogFields add(String name, boolean value) {
        appendName(name).append(value);
        return this;
    }

    /** Adds all fields of another. */
    public LogFields addAll(LogFields other) {
        if (!other.isEmpty()) {
            appendSeparator();
            mText.append(other.mText);
        }
        return this;
    }

    boolean isEmpty() {
        return mText.length() == 0;
    }

    private StringBuilder appendName(String name) {
        appendSeparator();
        return mText.append('"').append(name).append("\":");
    }

    private void appendSeparator() {
        if (!isEmpty()) {
            mText.append(',');
        }
    }

    /** Returns the fields, separated by commas. */
    @Override
    public String toString() {
        return mText.toString();
    }
}
