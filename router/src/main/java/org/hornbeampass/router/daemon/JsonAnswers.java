package org.hornbeampass.router.daemon;

import org.hornbeampass.transport.relay.CallerConnection;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Sends answers that a router gives itself as JSON.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class JsonAnswers {
    private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

    private JsonAnswers() {}

    /** Answers with a status and a JSON text. */
    static void respond(CallerConnection caller, int status, String json) {
        caller.respond(status, HEADERS, json.getBytes(StandardCharsets.UTF_8));
    }
}
