package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The state that an upstream is ordered to be in: an order names the whole of it, so that the same
 * order may be given any number of times.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param models the models to hold, each with its version
 * @param adapters the adapters to hold
 * @param role the part of the work to do
 */
public record IntendedState(Map<ModelId, String> models, Set<String> adapters, UpstreamRole role) {
    /** Copies the collections. */
    public IntendedState {
        Objects.requireNonNull(role, "role");
        models = Map.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns a state that holds nothing. */
    public static IntendedState empty() {
        return new IntendedState(Map.of(), Set.of(), UpstreamRole.MIXED);
    }

    /** Returns whether all that a target needs is to be held. */
    public boolean holds(WorkTarget target) {
        return target.model().map(models::containsKey).orElse(false)
                && target.adapter().map(adapters::contains).orElse(true);
    }

    /**
     * Returns this state with what a target needs added; a model held already keeps its version.
     */
    public IntendedState with(WorkTarget target, String version) {
        Map<ModelId, String> more = new HashMap<>(models);
        target.model().ifPresent(m -> more.putIfAbsent(m, version));
        Set<String> moreAdapters = new HashSet<>(adapters);
        target.adapter().ifPresent(moreAdapters::add);
        return new IntendedState(more, moreAdapters, role);
    }

    /** Returns this state without a target's adapter, or without its model where it has none. */
    public IntendedState without(WorkTarget target) {
        Map<ModelId, String> fewer = new HashMap<>(models);
        Set<String> fewerAdapters = new HashSet<>(adapters);
        if (target.adapter().isPresent()) {
            fewerAdapters.remove(target.adapter().get());
        } else {
            target.model().ifPresent(fewer::remove);
        }
        return new IntendedState(fewer, fewerAdapters, role);
    }
}
