package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import java.util.Objects;

/**
 * Identifies one incarnation of a router VM.
 *
 * <p>Invariant: two processes never have equal values, since each start has a new incarnation.
 * Ordered by name, then by incarnation. Immutable; safe for use by any thread.
 *
 * @param name the VM's name, from its settings
 * @param incarnation a number that increases with each start of the VM
 */
public record VmId(String name, long incarnation) implements Comparable<VmId> {
    /** Checks that the name can be used in a platform key. */
    public VmId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank() || name.indexOf('~') >= 0 || name.indexOf('/') >= 0) {
            throw new IllegalArgumentException(
                    "VM name \"" + name + "\" must not be blank or contain '~' or '/'");
        }
    }

    /** Parses the form {@code name~incarnation} that {@link #toString()} returns. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static VmId parse(String text) {
        int separator = text.lastIndexOf('~');
        if (separator < 0) {
            throw new IllegalArgumentException("VM id \"" + text + "\" lacks '~incarnation'");
        }
        return new VmId(
                text.substring(0, separator), Long.parseLong(text.substring(separator + 1)));
    }

    @Override
    public int compareTo(VmId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @JsonValue
    @Override
    public String toString() {
        return name + "~" + incarnation;
    }
}
