package org.hornbeampass.router.daemon;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in the order of their times, without waiting. Confined to one thread. */
final class VirtualTime {
    /** A scheduled action, with a number that orders actions of the same time. */
    private record Event(long atMs, long number, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private long mNowMs;
    private long mNumber;

    long nowMs() {
        return mNowMs;
    }

    void at(long atMs, Runnable action) {
        mEvents.add(new Event(Math.max(atMs, mNowMs), mNumber++, action));
    }

    /** Runs an action periodically, starting at a time in milliseconds. */
    void every(long firstMs, long periodMs, Runnable action) {
        at(
                firstMs,
                () -> {
                    action.run();
                    every(mNowMs + periodMs, periodMs, action);
                });
    }

    void runUntil(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
        }
        mNowMs = untilMs;
    }
}
