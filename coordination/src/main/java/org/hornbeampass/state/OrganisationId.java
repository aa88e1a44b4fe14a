package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies an organisation.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    /** Checks that the identifier is not blank. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public OrganisationId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("OrganisationId must not be blank");
        }
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
