package org.hornbeampass.state;

import java.util.Objects;

/**
 * Names a failure domain.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Checks that the identifier is not blank. */
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
