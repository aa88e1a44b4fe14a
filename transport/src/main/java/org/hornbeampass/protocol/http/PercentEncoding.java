package org.hornbeampass.protocol.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Percent-encodes text for the targets of requests.
 *
 * <p>Invariants: what is encoded consists of ASCII letters, digits, and {@code - . _ * %}, and is
 * decoded to the same text by any reader of paths or queries; two texts are never encoded alike.
 * Stateless; safe for use by any thread.
 */
public final class PercentEncoding {
    private PercentEncoding() {}

    /**
     * Returns a text encoded as a value in a query.
     *
     * @throws IllegalArgumentException if the text has a surrogate without its pair, which no
     *     encoding can state
     */
    public static String queryValue(String text) {
        if (!isEncodable(text)) {
            throw new IllegalArgumentException("a surrogate without its pair can't be encoded");
        }
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /**
     * Returns a text encoded as one segment of a path, which is never taken for a step up in it.
     *
     * @throws IllegalArgumentException if the text has a surrogate without its pair
     */
    public static String pathSegment(String text) {
        boolean dotSegment = text.equals(".") || text.equals("..");
        return dotSegment ? text.replace(".", "%2E") : queryValue(text);
    }

    /** Returns whether the text can be encoded: whether each surrogate in it has its pair. */
    public static boolean isEncodable(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }
}
