package org.hornbeampass.router.flow;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes JSON strings.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class JsonText {
    private JsonText() {}

    /** Returns a text as a JSON string with its quotes. */
    public static String quote(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }
}
