package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The state that orders require of an upstream. An order contains the complete state, so it is
 * idempotent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param models the models to load, each with its version
 * @param adapters the adapters to load
 * @param role the part of the work that the upstream does
 */
public record IntendedState(Map<ModelId, String> models, Set<String> adapters, UpstreamRole role) {
    /** Copies the collections. */
    public IntendedState {
        Objects.requireNonNull(role, "role");
        models = Map.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns a state with no models and adapters. */
    public static IntendedState empty() {
        return new IntendedState(Map.of(), Set.of(), UpstreamRole.MIXED);
    }

    /** Returns whether the state includes the model and the adapter that a target needs. */
    public boolean holds(WorkTarget target) {
        return target.model().map(models::containsKey).orElse(false)
                && target.adapter().map(adapters::contains).orElse(true);
    }

    /**
     * Returns this state with the model and the adapter of a target added; a model that is already
     * included keeps its version.
     */
    public IntendedState with(WorkTarget target, String version) {
        Map<ModelId, String> newModels = new HashMap<>(models);
        target.model().ifPresent(m -> newModels.putIfAbsent(m, version));
        Set<String> newAdapters = new HashSet<>(adapters);
        target.adapter().ifPresent(newAdapters::add);
        return new IntendedState(newModels, newAdapters, role);
    }

    /** Returns this state without a target's adapter, or without its model if it has no adapter. */
    public IntendedState without(WorkTarget target) {
        Map<ModelId, String> remainingModels = new HashMap<>(models);
        Set<String> remainingAdapters = new HashSet<>(adapters);
        if (target.adapter().isPresent()) {
            remainingAdapters.remove(target.adapter().get());
        } else {
            target.model().ifPresent(remainingModels::remove);
        }
        return new IntendedState(remainingModels, remainingAdapters, role);
    }
}
