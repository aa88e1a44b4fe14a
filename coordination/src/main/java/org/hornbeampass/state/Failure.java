package org.hornbeampass.state;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * An error kind with a message that says what is wrong and how to correct it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the kind of error
 * @param message what is wrong and how to correct it, for the caller; contains no API key and no
 *     request body
 * @param retryAfterMs when a retry may succeed, in milliseconds from now; empty if unknown
 */
public record Failure(ErrorKind kind, String message, OptionalLong retryAfterMs) {
    /** Checks that no part is missing. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfterMs, "retryAfterMs");
    }

    /** Returns a failure without a time for a retry. */
    public static Failure of(ErrorKind kind, String message) {
        return new Failure(kind, message, OptionalLong.empty());
    }

    /** Returns a failure that tells the caller when to retry. */
    public static Failure retryAfter(ErrorKind kind, String message, long retryAfterMs) {
        return new Failure(kind, message, OptionalLong.of(retryAfterMs));
    }
}
