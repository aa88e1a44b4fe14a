package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.Objects;

/**
 * What came of a claimed call, kept so that a retry gets the same answer.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the call
 * @param attempt the attempt that ran it
 * @param httpStatus the status of the upstream's answer
 * @param contentType the answer's content type; may be empty
 * @param body the answer's body as text; at most {@value #MAX_BODY_CHARS} characters
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CallOutcome(
        RequestKey key, AttemptId attempt, int httpStatus, String contentType, String body) {
    /** The longest body that is kept. */
    public static final int MAX_BODY_CHARS = 16_384;

    /** Checks that no part is missing and the body is not too long. */
    public CallOutcome {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        if (body.length() > MAX_BODY_CHARS) {
            throw new IllegalArgumentException("a kept answer must be shorter; cut it before");
        }
    }
}
