package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.UpstreamRole;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Computes the single orders that change an upstream from its present state to its intended state.
 *
 * <p>Invariant: loads come before unloads, except where a version is replaced; no step is needed if
 * the states are equal. Stateless; thread-safe.
 */
public final class OrderSteps {
    private OrderSteps() {}

    /** One order in the form that model engines accept. */
    public sealed interface Step {}

    /** Loads a version of a model. */
    public record LoadModel(ModelId model, String version) implements Step {}

    /** Loads an adapter. */
    public record LoadAdapter(String adapter) implements Step {}

    /** Unloads a model. */
    public record UnloadModel(ModelId model) implements Step {}

    /** Unloads an adapter. */
    public record UnloadAdapter(String adapter) implements Step {}

    /** Changes the role. */
    public record SetRole(UpstreamRole role) implements Step {}

    /** Returns the steps in the order in which they must be sent. */
    public static List<Step> between(IntendedState held, IntendedState wanted) {
        List<Step> steps = new ArrayList<>();
        if (held.role() != wanted.role()) {
            steps.add(new SetRole(wanted.role()));
        }
        wanted.models().entrySet().stream()
                .filter(e -> !e.getValue().equals(held.models().get(e.getKey())))
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> steps.add(new LoadModel(e.getKey(), e.getValue())));
        wanted.adapters().stream()
                .filter(a -> !held.adapters().contains(a))
                .sorted()
                .forEach(a -> steps.add(new LoadAdapter(a)));
        held.adapters().stream()
                .filter(a -> !wanted.adapters().contains(a))
                .sorted()
                .forEach(a -> steps.add(new UnloadAdapter(a)));
        held.models().keySet().stream()
                .filter(m -> !wanted.models().containsKey(m))
                .sorted()
                .forEach(m -> steps.add(new UnloadModel(m)));
        return steps;
    }
}
