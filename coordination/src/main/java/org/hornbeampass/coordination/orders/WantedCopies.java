package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Objects;

/**
 * How many copies of a model or adapter are wanted.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param target the model, or the model with its adapter
 * @param version the model's version
 * @param copies how many upstreams should hold it, at least 1
 */
public record WantedCopies(WorkTarget target, String version, int copies) {
    /** Checks the bounds. */
    public WantedCopies {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(version, "version");
        if (target.model().isEmpty() || copies < 1) {
            throw new IllegalArgumentException("copies of a model must be at least 1");
        }
    }
}
