package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies a prepaid budget within its organisation.
 *
 * <p>Invariant: the value is never blank. Immutable; safe for use by any thread.
 *
 * @param value the identifier's text
 */
public record BudgetId(@JsonValue String value) implements Comparable<BudgetId> {
    /** Checks that the identifier is not blank. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public BudgetId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("BudgetId must not be blank");
        }
    }

    @Override
    public int compareTo(BudgetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
