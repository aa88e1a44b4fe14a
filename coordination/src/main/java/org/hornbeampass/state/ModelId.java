package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies a model that callers request.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record ModelId(@JsonValue String value) implements Comparable<ModelId> {
    /** Checks that the identifier is not blank. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ModelId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("ModelId must not be blank");
        }
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
