package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.Optional;

/**
 * The target of a request: a model, optionally with an adapter, or a plain service.
 *
 * <p>Invariant: exactly one of {@code model} and {@code service} is present, and an adapter is
 * present only with a model. Immutable; safe for use by any thread.
 *
 * @param model the model
 * @param adapter the adapter
 * @param service the service's name
 */
public record WorkTarget(
        Optional<ModelId> model, Optional<String> adapter, Optional<String> service) {
    /** Checks the invariant. */
    public WorkTarget {
        if (model.isPresent() == service.isPresent()) {
            throw new IllegalArgumentException("exactly one of model and service must be present");
        }
        if (adapter.isPresent() && model.isEmpty()) {
            throw new IllegalArgumentException("an adapter requires a model");
        }
    }

    /** Returns the target of a model without an adapter. */
    public static WorkTarget model(ModelId model) {
        return new WorkTarget(Optional.of(model), Optional.empty(), Optional.empty());
    }

    /** Returns the target of a model with an adapter. */
    public static WorkTarget adapter(ModelId model, String adapter) {
        return new WorkTarget(Optional.of(model), Optional.of(adapter), Optional.empty());
    }

    /** Returns the target of a plain service. */
    public static WorkTarget service(String name) {
        return new WorkTarget(Optional.empty(), Optional.empty(), Optional.of(name));
    }

    /** Returns a description of the target for messages. */
    public String description() {
        if (service.isPresent()) {
            return "service " + service.get();
        }
        String base = "model " + model.orElseThrow();
        return adapter.map(a -> base + " with adapter " + a).orElse(base);
    }
}
