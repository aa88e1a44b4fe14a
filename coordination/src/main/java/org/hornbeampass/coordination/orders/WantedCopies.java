package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Objects;

/**
 * The wanted number of copies of a model or adapter.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param target the model, or the model with its adapter
 * @param version the model's version
 * @param copies the number of upstreams that should have it loaded, at least 1
 */
public record WantedCopies(WorkTarget target, String version, int copies) {
    /** Checks that the target names a model and that at least one copy is wanted. */
    public WantedCopies {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(version, "version");
        if (target.model().isEmpty() || copies < 1) {
            throw new IllegalArgumentException(
                    "the target must name a model, and copies must be at least 1");
        }
    }
}
