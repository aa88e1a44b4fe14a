package org.hornbeampass.router.flow;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Encodes text as JSON strings.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class JsonText {
    private JsonText() {}

    /** Returns a text as a JSON string, escaped and including its quotes. */
    public static String quote(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }
}
