package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;

/**
 * One change that the planner wants.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param action what is done
 * @param target what is loaded or unloaded
 * @param state the upstream's whole intended state after it
 */
public record PlannedOrder(
        UpstreamId upstream, Action action, WorkTarget target, IntendedState state) {
    /** The kinds of change. */
    public enum Action {
        /** Something is added. */
        LOAD,
        /** Something is taken away. */
        UNLOAD
    }
}
