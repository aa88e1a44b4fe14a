package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Objects;
import java.util.Set;

/**
 * The state of one upstream on which the planner bases its plans.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param fencingStatus whether it is protected from late orders of a deposed writer
 * @param maxModels how many models it can hold
 * @param usable whether it is running, healthy and has reported its state recently
 * @param intended the state that it was last ordered to reach
 * @param readyModels models that it reports as ready
 * @param readyAdapters adapters that it reports as ready
 */
public record OrderTarget(
        UpstreamId id,
        FailureDomain domain,
        FencingStatus fencingStatus,
        int maxModels,
        boolean usable,
        IntendedState intended,
        Set<ModelId> readyModels,
        Set<String> readyAdapters) {
    /** Copies the sets. */
    public OrderTarget {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(fencingStatus, "guard");
        Objects.requireNonNull(intended, "intended");
        readyModels = Set.copyOf(readyModels);
        readyAdapters = Set.copyOf(readyAdapters);
    }

    /** Returns whether it can serve a target now and is intended to keep it loaded. */
    public boolean serves(WorkTarget target) {
        return usable
                && intended.holds(target)
                && target.model().map(readyModels::contains).orElse(false)
                && target.adapter().map(readyAdapters::contains).orElse(true);
    }

    /** Returns whether it was ordered to load a target and is not ready to serve it yet. */
    public boolean loading(WorkTarget target) {
        return usable && intended.holds(target) && !serves(target);
    }

    /** Returns whether a target can be added to its intended state. */
    public boolean hasRoomFor(WorkTarget target) {
        if (!usable || intended.holds(target)) {
            return false;
        }
        if (target.adapter().isPresent()) {
            return serves(WorkTarget.model(target.model().orElseThrow()));
        }
        return intended.models().size() < maxModels;
    }

    /** Returns a copy with another intended state. */
    public OrderTarget withIntended(IntendedState state) {
        return new OrderTarget(
                id, domain, fencingStatus, maxModels, usable, state, readyModels, readyAdapters);
    }
}
