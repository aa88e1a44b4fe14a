package org.hornbeampass.state.config;

import java.util.Objects;

/**
 * Parameters shared by the organisations that use the template.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the template's name
 * @param parameters the parameters that it sets
 */
public record Template(String name, Parameters parameters) {
    /** Checks that no part is missing. */
    public Template {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(parameters, "parameters");
    }
}
