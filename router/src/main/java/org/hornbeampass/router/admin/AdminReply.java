package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.Map;

/**
 * Sends the response to one request to the operators' API.
 *
 * <p>Invariant: exactly one of its methods is called, once. As thread-safe as its exchange.
 */
final class AdminReply {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final long MS_PER_SECOND = 1000;
    private static final String CONTENT_TYPE = "content-type";
    private static final String JSON = "application/json";

    private final HttpExchange mExchange;

    AdminReply(HttpExchange exchange) {
        mExchange = exchange;
    }

    /** Sends a value that was read, with its age in whole seconds in the {@code Age} header. */
    void sendWithAge(Aged<?> value) {
        long seconds = Math.max(0, value.ageMs()) / MS_PER_SECOND;
        send(OK, Map.of(CONTENT_TYPE, JSON, AdminPaths.AGE, Long.toString(seconds)), value.value());
    }

    /** Sends a value that was read with its age, or a failure. */
    void sendWithAge(Either<Failure, ? extends Aged<?>> result) {
        if (result.isLeft()) {
            sendFailure(result.getLeft());
            return;
        }
        sendWithAge(result.get());
    }

    /** Sends the result of a change, or a failure. */
    void sendResult(Either<Failure, ?> result) {
        if (result.isLeft()) {
            sendFailure(result.getLeft());
            return;
        }
        send(OK, Map.of(CONTENT_TYPE, JSON), result.get());
    }

    /** Sends the result of a creation; marked as not cacheable, since it may contain a key. */
    void sendCreated(Object value) {
        send(CREATED, Map.of(CONTENT_TYPE, JSON, "cache-control", "no-store"), value);
    }

    /** Sends a failure. */
    void sendFailure(Failure failure) {
        ErrorAnswer answer = ErrorAnswer.of(failure);
        mExchange.respond(answer.status(), answer.headers(), answer.body());
    }

    private void send(int status, Map<String, String> headers, Object value) {
        mExchange.respond(status, headers, AdminJson.encode(value));
    }
}
