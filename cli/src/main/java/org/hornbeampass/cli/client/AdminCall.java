package org.hornbeampass.cli.client;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.admin.AdminPaths;

import java.util.Map;

/**
 * One call to the operators' API.
 *
 * <p>Immutable, but for the body, which nobody changes; safe for use by any thread.
 *
 * @param method the HTTP method
 * @param path the path with its query, percent-encoded
 * @param headers headers besides the key
 * @param body the body; empty where there is none
 * @param repeatable whether sending it twice has the effect of sending it once
 */
public record AdminCall(
        String method, String path, Map<String, String> headers, byte[] body, boolean repeatable) {
    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public AdminCall {
        headers = Map.copyOf(headers);
    }

    /** Returns a read. */
    public static AdminCall get(String path) {
        return new AdminCall("GET", path, Map.of(), NO_BODY, true);
    }

    /** Returns a post whose effect is there once however often it is sent. */
    public static AdminCall repeatablePost(String path, Object body) {
        return new AdminCall("POST", path, Map.of(), AdminJson.encode(body), true);
    }

    /** Returns a put whose effect is there once however often it is sent. */
    public static AdminCall repeatablePut(String path, Object body) {
        return new AdminCall("PUT", path, Map.of(), AdminJson.encode(body), true);
    }

    /** Returns a post that must not be sent again when its answer is lost. */
    public static AdminCall post(String path, Object body) {
        return new AdminCall("POST", path, Map.of(), AdminJson.encode(body), false);
    }

    /** Returns a post without a body that must not be sent again when its answer is lost. */
    public static AdminCall post(String path) {
        return new AdminCall("POST", path, Map.of(), NO_BODY, false);
    }

    /** Returns a post without a body that may be sent again. */
    public static AdminCall repeatablePost(String path) {
        return new AdminCall("POST", path, Map.of(), NO_BODY, true);
    }

    /** Returns the creation of an object, refused where it exists. */
    public static AdminCall create(String path, Object body) {
        return new AdminCall(
                "PUT", path, Map.of("If-None-Match", "*"), AdminJson.encode(body), true);
    }

    /** Returns the replacement of an object at a revision. */
    public static AdminCall replace(String path, Object body, long revision) {
        return new AdminCall(
                "PUT",
                path,
                Map.of(AdminPaths.IF_MATCH, Long.toString(revision)),
                AdminJson.encode(body),
                true);
    }

    /** Returns a deletion, at a revision where that is positive. */
    public static AdminCall delete(String path, long revision) {
        return new AdminCall(
                "DELETE",
                path,
                revision > 0 ? Map.of(AdminPaths.IF_MATCH, Long.toString(revision)) : Map.of(),
                NO_BODY,
                true);
    }
}
