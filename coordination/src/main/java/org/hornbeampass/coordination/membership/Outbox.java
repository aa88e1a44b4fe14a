package org.hornbeampass.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Actions to run after a lock is released, such as sending messages and calling listeners.
 *
 * <p>Used by one thread, for one acquisition of the lock.
 */
public final class Outbox {
    /** Runs a step with a lock held, and the actions that the step added after its release. */
    @FunctionalInterface
    public interface LockedRunner {
        /**
         * Runs a step.
         *
         * @param nowMs the current time in milliseconds
         * @param step what to do with the lock held
         */
        void run(long nowMs, Consumer<Outbox> step);
    }

    private final List<Runnable> mActions = new ArrayList<>();

    /** Adds an action. */
    public void add(Runnable action) {
        mActions.add(action);
    }

    /** Runs the actions in the order in which they were added; must be called with no lock held. */
    public void run() {
        mActions.forEach(Runnable::run);
    }
}
