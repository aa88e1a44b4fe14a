package org.hornbeampass.experiment.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * Runs planned tasks in the order of their virtual times.
 *
 * <p>Invariant: time never goes back. Not thread-safe: one thread runs an experiment.
 */
final class EventQueue {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private long mNowMs;
    private long mOrder;

    /** A task and when it runs. */
    private record Event(long atMs, long order, LongConsumer task) {}

    EventQueue(long startMs) {
        mNowMs = startMs;
    }

    long nowMs() {
        return mNowMs;
    }

    void after(long delayMs, LongConsumer task) {
        mEvents.add(new Event(mNowMs + delayMs, mOrder++, task));
    }

    void runFor(long durationMs) {
        long endMs = mNowMs + durationMs;
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= endMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.task().accept(mNowMs);
        }
        mNowMs = endMs;
    }
}
