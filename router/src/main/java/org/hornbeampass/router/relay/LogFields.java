package org.hornbeampass.router.relay;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

import org.hornbeampass.coordination.platform.StoreVersion;

/**
 * The fields of one log line, as members of a JSON object.
 *
 * <p>Invariant: the rendered text is valid between the braces of a JSON object, whatever characters
 * the values contain. Not thread-safe.
 */
public final class LogFields {
    private final StringBuilder mText = new StringBuilder(96);

    /** Adds a string field. */
    public LogFields add(String name, String value) {
        appendName(name).append('"');
        JsonStringEncoder.getInstance().quoteAsString(value, mText);
        mText.append('"');
        return this;
    }

    /** Adds a numeric field. */
    public LogFields add(String name, long value) {
        appendName(name).append(value);
        return this;
    }

    /** Adds the revision of a version of the store and, if the store states one, its era. */
    public LogFields addVersion(String name, long version) {
        add(name, StoreVersion.revision(version));
        long era = StoreVersion.era(version);
        return era == 0 ? this : add(name + "_era", era);
    }

    /** Adds a boolean field. */
    public LogFields add(String name, boolean value) {
        appendName(name).append(value);
        return this;
    }

    /** Adds all fields of another instance. */
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
