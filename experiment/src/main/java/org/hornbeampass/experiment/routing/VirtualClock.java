package org.hornbeampass.experiment.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their virtual times; actions of one time run in the order in which
 * they were added.
 *
 * <p>Not thread-safe.
 */
final class VirtualClock {
    private final PriorityQueue<Action> mActions =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Action::atMs).thenComparing(Action::order));
    private long mOrder;
    private double mNowMs;

    /** An action with its time. */
    private record Action(double atMs, long order, Runnable run) {}

    /** Returns the present virtual time in whole milliseconds. */
    long nowMs() {
        return (long) mNowMs;
    }

    /** Returns the present virtual time in milliseconds, with its fraction. */
    double exactMs() {
        return mNowMs;
    }

    /** Adds an action. */
    void at(double atMs, Runnable run) {
        mActions.add(new Action(Math.max(atMs, mNowMs), mOrder++, run));
    }

    /** Adds an action that is run after a delay. */
    void after(double delayMs, Runnable run) {
        at(mNowMs + delayMs, run);
    }

    /** Adds an action that is repeated. */
    void every(double firstMs, double periodMs, Runnable run) {
        at(
                firstMs,
                () -> {
                    run.run();
                    every(mNowMs + periodMs, periodMs, run);
                });
    }

    /** Runs all actions up to a time. */
    void runUntil(double endMs) {
        while (!mActions.isEmpty() && mActions.peek().atMs() <= endMs) {
            Action action = mActions.remove();
            mNowMs = action.atMs();
            action.run().run();
        }
        mNowMs = endMs;
    }
}
