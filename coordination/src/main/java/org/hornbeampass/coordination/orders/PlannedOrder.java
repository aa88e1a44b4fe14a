package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;

/**
 * One change to an upstream that the planner asks for.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param action whether the target is loaded or unloaded
 * @param target the model or adapter that is loaded or unloaded
 * @param state the upstream's complete intended state after the change
 */
public record PlannedOrder(
        UpstreamId upstream, Action action, WorkTarget target, IntendedState state) {
    /** The kinds of change. */
    public enum Action {
        /** Adds the target to the intended state. */
        LOAD,
        /** Removes the target from the intended state. */
        UNLOAD
    }
}
