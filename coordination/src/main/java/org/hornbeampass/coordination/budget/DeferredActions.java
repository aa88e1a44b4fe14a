package org.hornbeampass.coordination.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Calls and callbacks decided under a lock, to be run after it is released.
 *
 * <p>Not thread-safe; each belongs to one call.
 */
final class DeferredActions {
    private List<Runnable> mActions = List.of();

    /** Adds an action. */
    void add(Runnable action) {
        if (mActions.isEmpty()) {
            mActions = new ArrayList<>();
        }
        mActions.add(action);
    }

    /** Runs the actions in their order; called with no lock held. */
    void run() {
        for (Runnable action : mActions) {
            action.run();
        }
    }
}
