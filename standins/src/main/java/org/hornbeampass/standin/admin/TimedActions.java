package org.hornbeampass.standin.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * Actions that wait for their time, in virtual or real time.
 *
 * <p>Invariant: actions run in the order of their times, then in the order in which they were
 * added; each gets the time it was due. Thread-safe: one lock guards the queue, and actions run
 * with no lock held.
 */
public final class TimedActions {
    private final Object mLock = new Object();
    private final PriorityQueue<Due> mQueue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private long mOrder;

    /** An action that waits. */
    private record Due(long atMs, long order, LongConsumer action) {}

    /** Adds an action. */
    public void at(long atMs, LongConsumer action) {
        synchronized (mLock) {
            mQueue.add(new Due(atMs, mOrder++, action));
        }
    }

    /** Returns when the next action is due, in milliseconds. */
    public OptionalLong nextDueAt() {
        synchronized (mLock) {
            return mQueue.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(mQueue.element().atMs());
        }
    }

    /** Runs all actions that are due by now, those that they add included. */
    public void runDue(long nowMs) {
        List<Due> due = takeDue(nowMs);
        while (!due.isEmpty()) {
            due.forEach(d -> d.action().accept(d.atMs()));
            due = takeDue(nowMs);
        }
    }

    private List<Due> takeDue(long nowMs) {
        List<Due> due = new ArrayList<>();
        synchronized (mLock) {
            while (!mQueue.isEmpty() && mQueue.element().atMs() <= nowMs) {
                due.add(mQueue.remove());
            }
        }
        return due;
    }
}
