package org.hornbeampass.standin.admin;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.state.Json;
import org.hornbeampass.transport.http.HttpExchange;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Answers requests with JSON bodies.
 *
 * <p>Stateless and thread-safe.
 */
public final class Answers {
    private static final Logger LOG = LogManager.getLogger(Answers.class);

    /** The status of a call that was carried out. */
    public static final int OK = 200;

    /** The status of a request that can't be understood. */
    public static final int BAD_REQUEST = 400;

    /** The status of a request for something that does not exist. */
    public static final int NOT_FOUND = 404;

    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    /** What is wrong, within {@link ErrorBody}. */
    private record ErrorDetail(String message, String type) {}

    /** The body of an error in OpenAI's shape. */
    private record ErrorBody(ErrorDetail error) {}

    private Answers() {}

    /** Answers with a record or list. */
    public static void json(HttpExchange exchange, int status, Object body) {
        exchange.respond(status, JSON, bytes(Json.encode(body)));
    }

    /** Answers with what is wrong. */
    public static void error(HttpExchange exchange, int status, String message) {
        json(exchange, status, new ErrorBody(new ErrorDetail(message, "stand_in_error")));
    }

    /** Runs an action that answers; where it fails, answers that the request is malformed. */
    public static void orError(HttpExchange exchange, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.info("{} {} failed", exchange.method(), exchange.path(), e);
            error(exchange, BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    /** Returns a body as text. */
    public static String text(HttpExchange exchange) {
        return new String(exchange.body(), StandardCharsets.UTF_8);
    }

    /** Returns a text's bytes. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
