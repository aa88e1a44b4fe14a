package org.hornbeampass.standin.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * An order to an engine.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param fencing the fencing number of who gives the order
 * @param action what to do
 * @param model the model to load or unload; empty for a change of role
 * @param adapter the adapter to load onto the model or unload; empty for the model itself
 * @param version the version to load; empty for the one called {@value Order#DEFAULT_VERSION}
 * @param role the new role; empty but for a change of role
 */
public record Order(
        long fencing,
        Action action,
        Optional<String> model,
        Optional<String> adapter,
        Optional<String> version,
        Optional<String> role) {
    /** The version that is loaded where an order names none. */
    public static final String DEFAULT_VERSION = "1";

    /** Checks that the action has what it needs. */
    public Order {
        Objects.requireNonNull(action, "an order needs an action: LOAD, UNLOAD or SET_ROLE");
        if (action == Action.SET_ROLE ? role.isEmpty() : model.isEmpty()) {
            throw new IllegalArgumentException(action + " needs a " + action.mNeeds);
        }
    }

    /** What an order asks for. */
    public enum Action {
        LOAD("model"),
        UNLOAD("model"),
        SET_ROLE("role");

        private final String mNeeds;

        Action(String needs) {
            mNeeds = needs;
        }
    }

    /** Returns an order to load a model. */
    public static Order load(long fencing, String model, String version) {
        return new Order(
                fencing,
                Action.LOAD,
                Optional.of(model),
                Optional.empty(),
                Optional.of(version),
                Optional.empty());
    }

    /** Returns the name under which requests ask for what the order loads or unloads. */
    String servedName() {
        return adapter.or(() -> model).orElse("");
    }

    /** Returns the name under which the weight store holds what the order loads. */
    String artifact() {
        return servedName() + "@" + version.orElse(DEFAULT_VERSION);
    }
}
