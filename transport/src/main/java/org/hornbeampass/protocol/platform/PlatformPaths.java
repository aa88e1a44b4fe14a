package org.hornbeampass.protocol.platform;

import org.hornbeampass.protocol.http.PercentEncoding;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The paths, query parameters and statuses of the platform's object API.
 *
 * <p>{@code GET /v1/objects/{key}} answers 200 or 404; {@code GET
 * /v1/objects?prefix=&after=&limit=} answers 200; {@code POST /v1/objects/{key}} creates, {@code
 * PUT} and {@code DELETE /v1/objects/{key}?version=} change the object at that version, and each
 * answers 200 or 409; {@code GET /v1/watch?prefix=&after=&wait_ms=} answers 200 or 410. Any call
 * may be answered with 429, and then has no effect. Bodies are the records of {@link
 * PlatformBodies}, except that the body of POST and PUT is the value itself. Stateless; safe for
 * use by any thread.
 */
public final class PlatformPaths {
    /** The path of the listing; followed by a slash and a key, the path of one object. */
    public static final String OBJECTS = "/v1/objects";

    /** The path of a watch. */
    public static final String WATCH = "/v1/watch";

    /** The query parameter for the prefix that the keys must have. */
    public static final String PREFIX = "prefix";

    /** The query parameter for the key or version after which the response starts, exclusive. */
    public static final String AFTER = "after";

    /** The query parameter for the maximum number of objects in a page. */
    public static final String LIMIT = "limit";

    /** The query parameter for the version that the object must have for a write to take effect. */
    public static final String VERSION = "version";

    /** The query parameter for the maximum wait for a change, in milliseconds. */
    public static final String WAIT_MS = "wait_ms";

    /** The status of a call that succeeded. */
    public static final int STATUS_OK = 200;

    /** The status of a read of an object that does not exist. */
    public static final int STATUS_NOT_FOUND = 404;

    /** The status of a write that had no effect because the object has a different version. */
    public static final int STATUS_CONFLICT = 409;

    /** The status of a watch from a version whose later changes the platform no longer retains. */
    public static final int STATUS_GONE = 410;

    /** The status of a call rejected by the rate limit. */
    public static final int STATUS_THROTTLED = 429;

    private PlatformPaths() {}

    /** Returns the path of an object, with each part of its key between slashes encoded. */
    public static String object(String key) {
        return Arrays.stream(key.split("/", -1))
                .map(PercentEncoding::pathSegment)
                .collect(Collectors.joining("/", OBJECTS + "/", ""));
    }

    /** Returns the path of a write to an object that must be at a version. */
    public static String objectAt(String key, long version) {
        return object(key) + "?" + VERSION + "=" + version;
    }

    /** Returns the path of a listing of at most {@code limit} objects after a key. */
    public static String list(String prefix, String afterKey, int limit) {
        return OBJECTS + query(PREFIX, prefix, AFTER, afterKey) + ("&" + LIMIT + "=" + limit);
    }

    /** Returns the path of a watch for changes after a version. */
    public static String watch(String prefix, long afterVersion, long waitMs) {
        return WATCH
                + query(PREFIX, prefix, AFTER, Long.toString(afterVersion))
                + ("&" + WAIT_MS + "=" + waitMs);
    }

    /** Returns the key in a decoded path; empty if the path is not that of an object. */
    public static Optional<String> key(String path) {
        String start = OBJECTS + "/";
        return path.startsWith(start) && path.length() > start.length()
                ? Optional.of(path.substring(start.length()))
                : Optional.empty();
    }

    private static String query(String name, String value, String otherName, String otherValue) {
        return "?"
                + name
                + "="
                + PercentEncoding.queryValue(value)
                + "&"
                + otherName
                + "="
                + PercentEncoding.queryValue(otherValue);
    }
}
