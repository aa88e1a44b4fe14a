package org.hornbeampass.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * A clock and schedule that only moves when told to; tasks due at the same time run in the order in
 * which they were planned.
 *
 * <p>Invariant: time never goes back. Not thread-safe: tests run on one thread.
 */
public final class VirtualTime {
    private final PriorityQueue<Planned> mPlanned =
            new PriorityQueue<>(
                    Comparator.comparingLong(Planned::atMs).thenComparingLong(Planned::order));
    private long mNowMs;
    private long mOrder;

    /** A task and when it runs. */
    private record Planned(long atMs, long order, LongConsumer task) {}

    /** Creates a clock that shows {@code startMs}. */
    public VirtualTime(long startMs) {
        mNowMs = startMs;
    }

    /** Returns the present time in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /** Plans a task that takes the time at which it runs. */
    public void after(long delayMs, LongConsumer task) {
        mPlanned.add(new Planned(mNowMs + Math.max(0, delayMs), mOrder++, task));
    }

    /** Plans a task that runs again and again. */
    public void every(long periodMs, LongConsumer task) {
        after(
                periodMs,
                atMs -> {
                    task.accept(atMs);
                    every(periodMs, task);
                });
    }

    /** Runs all that is due within a time, and moves the clock to its end. */
    public void runFor(long durationMs) {
        long endMs = mNowMs + durationMs;
        while (!mPlanned.isEmpty() && mPlanned.peek().atMs() <= endMs) {
            Planned next = mPlanned.poll();
            mNowMs = next.atMs();
            next.task().accept(mNowMs);
        }
        mNowMs = endMs;
    }
}
