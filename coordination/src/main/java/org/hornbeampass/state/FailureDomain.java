package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies a failure domain.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** Checks that the identifier is not blank. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FailureDomain {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("FailureDomain must not be blank");
        }
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
