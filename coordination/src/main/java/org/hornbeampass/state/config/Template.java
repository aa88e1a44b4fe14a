package org.hornbeampass.state.config;

import java.util.Objects;

/**
 * Terms shared by the organisations that are created from it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the template's name
 * @param parameters its terms
 */
public record Template(String name, Parameters parameters) {
    /** Checks that no part is missing. */
    public Template {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(parameters, "parameters");
    }
}
