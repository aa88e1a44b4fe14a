package org.hornbeampass.state.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;

/**
 * Identifies an object of the configuration by kind and name, such as {@code template/desk}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param value the kind and the name, separated by a slash
 */
public record ObjectKey(@JsonValue String value) implements Comparable<ObjectKey> {
    /** Checks that the key is not null. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ObjectKey {
        Objects.requireNonNull(value, "value");
    }

    /** Returns the key of a template. */
    public static ObjectKey template(String name) {
        return new ObjectKey("template/" + name);
    }

    /** Returns the key of an organisation. */
    public static ObjectKey organisation(OrganisationId id) {
        return new ObjectKey("organisation/" + id);
    }

    /** Returns the key of an upstream. */
    public static ObjectKey upstream(UpstreamId id) {
        return new ObjectKey("upstream/" + id);
    }

    /** Returns the object key of an operator key. */
    public static ObjectKey operatorKey(String name) {
        return new ObjectKey("operator-key/" + name);
    }

    @Override
    public int compareTo(ObjectKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
