package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.Optional;

/**
 * What a request asks for: a model, with or without an adapter, or a plain service.
 *
 * <p>Invariant: exactly one of {@code model} and {@code service} is present, and an adapter only
 * with a model. Immutable; safe for use by any thread.
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
            throw new IllegalArgumentException("name exactly one of model and service");
        }
        if (adapter.isPresent() && model.isEmpty()) {
            throw new IllegalArgumentException("an adapter needs a model");
        }
    }

    /** Returns a model without an adapter. */
    public static WorkTarget model(ModelId model) {
        return new WorkTarget(Optional.of(model), Optional.empty(), Optional.empty());
    }

    /** Returns a model with an adapter. */
    public static WorkTarget adapter(ModelId model, String adapter) {
        return new WorkTarget(Optional.of(model), Optional.of(adapter), Optional.empty());
    }

    /** Returns a plain service. */
    public static WorkTarget service(String name) {
        return new WorkTarget(Optional.empty(), Optional.empty(), Optional.of(name));
    }

    /** Returns the target in words, for messages. */
    public String description() {
        if (service.isPresent()) {
            return "service " + service.get();
        }
        String base = "model " + model.orElseThrow();
        return adapter.map(a -> base + " with adapter " + a).orElse(base);
    }
}
