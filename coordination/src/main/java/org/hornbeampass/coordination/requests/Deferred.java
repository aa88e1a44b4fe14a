package org.hornbeampass.coordination.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to be run once the ledger's lock is released: calls, messages and callbacks.
 *
 * <p>Not thread-safe; used by the one thread that holds, then has released, the lock.
 */
final class Deferred {
    private final List<Runnable> mSteps = new ArrayList<>();

    void add(Runnable step) {
        mSteps.add(step);
    }

    void run() {
        mSteps.forEach(Runnable::run);
    }

    /** Runs a step with the ledger's lock held, then what the step deferred without it. */
    @FunctionalInterface
    interface Guard {
        /** Runs a step. */
        void locked(java.util.function.Consumer<Deferred> step);
    }
}
