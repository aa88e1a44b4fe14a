package org.hornbeampass.coordination.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Lets requests that arrive at about the same time share one read of the store.
 *
 * <p>Invariant: a read that answers a request was started after the request. Confined to one
 * thread.
 *
 * @param <T> the result of a read
 */
final class SharedRead<T> {
    /** Minimum time between the starts of two reads, in milliseconds: each one is charged. */
    private static final long MIN_INTERVAL_MS = 200;

    /** How long a request waits for a read, in milliseconds. */
    private static final long MAX_WAIT_MS = 1_000;

    private final BiConsumer<Long, BiConsumer<Long, T>> mStart;
    private final List<Waiter<T>> mWaiting = new ArrayList<>();
    private List<Waiter<T>> mReading = List.of();
    private boolean mInProgress;
    private long mStartedMs = Long.MIN_VALUE;

    /**
     * A request that waits for a read.
     *
     * @param sinceMs when it arrived, in milliseconds
     * @param done receives the time in milliseconds and the result
     */
    private record Waiter<T>(long sinceMs, BiConsumer<Long, Optional<T>> done) {}

    /**
     * Creates a shared read.
     *
     * @param start starts a read at a time in milliseconds; its result must be passed on once
     */
    SharedRead(BiConsumer<Long, BiConsumer<Long, T>> start) {
        mStart = start;
    }

    /** Reads for a request; the result is empty if it takes too long. */
    void read(long nowMs, BiConsumer<Long, Optional<T>> done) {
        mWaiting.add(new Waiter<>(nowMs, done));
        startIfDue(nowMs);
    }

    /** Starts a read that is due, and ends waits that are too long. */
    void tick(long nowMs) {
        List<Waiter<T>> overdue = new ArrayList<>();
        List<Waiter<T>> reading = new ArrayList<>();
        mReading.forEach(w -> (isOverdue(nowMs, w) ? overdue : reading).add(w));
        mReading = reading;
        mWaiting.stream().filter(w -> isOverdue(nowMs, w)).forEach(overdue::add);
        mWaiting.removeAll(overdue);
        overdue.forEach(w -> w.done().accept(nowMs, Optional.empty()));
        startIfDue(nowMs);
    }

    private static boolean isOverdue(long nowMs, Waiter<?> waiter) {
        return nowMs - waiter.sinceMs() >= MAX_WAIT_MS;
    }

    private void startIfDue(long nowMs) {
        boolean tooEarly = mStartedMs != Long.MIN_VALUE && nowMs - mStartedMs < MIN_INTERVAL_MS;
        if (mInProgress || mWaiting.isEmpty() || tooEarly) {
            return;
        }
        mInProgress = true;
        mStartedMs = nowMs;
        mReading = List.copyOf(mWaiting);
        mWaiting.clear();
        mStart.accept(nowMs, this::onResult);
    }

    private void onResult(long nowMs, T result) {
        mInProgress = false;
        List<Waiter<T>> answered = mReading;
        mReading = List.of();
        answered.forEach(w -> w.done().accept(nowMs, Optional.of(result)));
        startIfDue(nowMs);
    }
}
