package org.hornbeampass.coordination.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to be run once the ledger's lock is released: calls, messages and callbacks.
 *
 * <p>Not thread-safe; used by the one thread that holds, then has released, the lock.
 */
final class DeferredActions {
    private final List<Runnable> mActions = new ArrayList<>();

    void add(Runnable step) {
        mActions.add(step);
    }

    void run() {
        mActions.forEach(Runnable::run);
    }

    /** Runs a step with the ledger's lock held, then what the step deferred without it. */
    @FunctionalInterface
    interface LockRunner {
        /** Runs a step. */
        void runLocked(java.util.function.Consumer<DeferredActions> step);
    }
}
