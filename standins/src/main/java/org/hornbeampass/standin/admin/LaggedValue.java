package org.hornbeampass.standin.admin;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that is seen a set time after it was set.
 *
 * <p>Invariant: values set less than {@value #GRAIN_MS} ms apart are kept as one, the later value
 * at the earlier time, so that memory is bounded by the lag. Not thread-safe.
 *
 * @param <T> the type of the value
 */
public final class LaggedValue<T> {
    private static final long GRAIN_MS = 5;

    private final Deque<Entry<T>> mEntries = new ArrayDeque<>();
    private long mLagMs;

    /** A value with the time at which it was set. */
    private record Entry<T>(long atMs, T value) {}

    /**
     * Creates a view.
     *
     * @param lagMs the lag in milliseconds
     * @param initial what is seen until the first value has aged
     */
    public LaggedValue(long lagMs, T initial) {
        mLagMs = lagMs;
        mEntries.add(new Entry<>(Long.MIN_VALUE, initial));
    }

    /** Returns the lag, in milliseconds. */
    public long lagMs() {
        return mLagMs;
    }

    /** Changes the lag, in milliseconds. */
    public void setLagMs(long lagMs) {
        mLagMs = lagMs;
    }

    /** Sets the value. */
    public void set(long nowMs, T value) {
        Entry<T> last = mEntries.getLast();
        if (mEntries.size() > 1 && nowMs - last.atMs() < GRAIN_MS) {
            mEntries.removeLast();
            mEntries.addLast(new Entry<>(last.atMs(), value));
        } else {
            mEntries.addLast(new Entry<>(nowMs, value));
        }
        forgetSeen(nowMs);
    }

    /** Returns the newest value that was set at least the lag ago. */
    public T get(long nowMs) {
        forgetSeen(nowMs);
        return mEntries.getFirst().value();
    }

    private void forgetSeen(long nowMs) {
        while (mEntries.size() > 1) {
            Entry<T> first = mEntries.removeFirst();
            if (mEntries.getFirst().atMs() > nowMs - mLagMs) {
                mEntries.addFirst(first);
                return;
            }
        }
    }
}
