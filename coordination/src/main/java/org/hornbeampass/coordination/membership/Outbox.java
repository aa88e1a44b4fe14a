package org.hornbeampass.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What is to be sent or told once the lock is released.
 *
 * <p>Used by one thread, for one entry into the lock.
 */
public final class Outbox {
    /** Runs a step with a lock held, and what the step puts in the outbox after its release. */
    @FunctionalInterface
    public interface LockedRunner {
        /**
         * Runs a step.
         *
         * @param nowMs the present time in milliseconds
         * @param step what to do with the lock held
         */
        void run(long nowMs, Consumer<Outbox> step);
    }

    private final List<Runnable> mActions = new ArrayList<>();

    /** Adds an action. */
    public void add(Runnable action) {
        mActions.add(action);
    }

    /** Runs the actions in their order; call it with no lock held. */
    public void run() {
        mActions.forEach(Runnable::run);
    }
}
