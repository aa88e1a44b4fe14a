package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.Objects;

/**
 * The outcome of a claimed call, stored so that a retry gets the same answer.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the call
 * @param attempt the attempt that ran it
 * @param httpStatus the HTTP status of the upstream's answer
 * @param contentType the content type of the answer; may be empty
 * @param body the body of the answer as text; at most {@value #MAX_BODY_CHARS} characters
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CallOutcome(
        RequestKey key, AttemptId attempt, int httpStatus, String contentType, String body) {
    /** The maximum length of a stored body, in characters. */
    public static final int MAX_BODY_CHARS = 16_384;

    /** Checks that no component is null and that the body is not too long. */
    public CallOutcome {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        if (body.length() > MAX_BODY_CHARS) {
            throw new IllegalArgumentException(
                    "the body of an outcome is too long; truncate it first");
        }
    }
}
