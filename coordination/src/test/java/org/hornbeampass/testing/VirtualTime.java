package org.hornbeampass.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * A virtual clock and scheduler that tests advance explicitly; tasks due at the same time run in
 * the order in which they were scheduled.
 *
 * <p>Invariant: time never decreases. Not thread-safe: tests run on one thread.
 */
public final class VirtualTime {
    private final PriorityQueue<ScheduledTask> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledTask::atMs)
                            .thenComparingLong(ScheduledTask::order));
    private long mNowMs;
    private long mNextOrder;

    /** A task and the time at which it runs. */
    private record ScheduledTask(long atMs, long order, LongConsumer task) {}

    /** Creates a clock whose initial time is {@code startMs}. */
    public VirtualTime(long startMs) {
        mNowMs = startMs;
    }

    /** Returns the current time in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /** Schedules a task, which receives the time at which it runs. */
    public void after(long delayMs, LongConsumer task) {
        mTasks.add(new ScheduledTask(mNowMs + Math.max(0, delayMs), mNextOrder++, task));
    }

    /** Schedules a task that runs periodically. */
    public void every(long periodMs, LongConsumer task) {
        after(
                periodMs,
                atMs -> {
                    task.accept(atMs);
                    every(periodMs, task);
                });
    }

    /** Runs all tasks that are due within a duration, and advances the clock to its end. */
    public void runFor(long durationMs) {
        long endMs = mNowMs + durationMs;
        while (!mTasks.isEmpty() && mTasks.peek().atMs() <= endMs) {
            ScheduledTask next = mTasks.poll();
            mNowMs = next.atMs();
            next.task().accept(mNowMs);
        }
        mNowMs = endMs;
    }
}
