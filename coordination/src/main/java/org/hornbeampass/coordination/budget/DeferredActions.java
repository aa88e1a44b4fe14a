package org.hornbeampass.coordination.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects calls and callbacks while a lock is held, to run them after it is released.
 *
 * <p>Not thread-safe; each instance is used by one call.
 */
final class DeferredActions {
    private List<Runnable> mActions = List.of();

    void add(Runnable action) {
        if (mActions.isEmpty()) {
            mActions = new ArrayList<>();
        }
        mActions.add(action);
    }

    /** Runs the actions in the order in which they were added. Must be called with no lock held. */
    void run() {
        for (Runnable action : mActions) {
            action.run();
        }
    }
}
