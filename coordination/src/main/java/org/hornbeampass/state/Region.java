package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies a region, which contains one or more failure domains.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record Region(@JsonValue String value) implements Comparable<Region> {
    /** Checks that the identifier is not blank. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Region {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("Region must not be blank");
        }
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
