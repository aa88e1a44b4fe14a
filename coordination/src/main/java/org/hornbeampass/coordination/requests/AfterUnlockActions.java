package org.hornbeampass.coordination.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the calls, messages and callbacks to run once the ledger's lock is released.
 *
 * <p>Not thread-safe; used by the one thread that holds, then has released, the lock.
 */
final class AfterUnlockActions {
    private final List<Runnable> mSteps = new ArrayList<>();

    void add(Runnable step) {
        mSteps.add(step);
    }

    void run() {
        mSteps.forEach(Runnable::run);
    }

    /** Runs a step with the ledger's lock held, then what the step deferred without it. */
    @FunctionalInterface
    interface LockRunner {
        /** Runs a step. */
        void runLocked(java.util.function.Consumer<AfterUnlockActions> step);
    }
}
