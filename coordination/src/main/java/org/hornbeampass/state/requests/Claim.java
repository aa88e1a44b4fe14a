package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.Objects;

/**
 * An attempt's claim to be the only one that ever runs a call that may not be repeated.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the call
 * @param attempt the attempt that is to run it
 * @param admittedAtMs when the VM admitted the call, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Claim(RequestKey key, AttemptId attempt, long admittedAtMs) {
    /** Checks that key and attempt are not null. */
    public Claim {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
    }
}
