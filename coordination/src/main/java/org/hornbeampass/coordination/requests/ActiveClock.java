package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Tracks the time of a shard's log, as given by its batches, and its active time, which does not
 * advance while nothing is appended.
 *
 * <p>Ids expire by active time, so they expire only as the log makes progress: after an outage of
 * hours, the bills that waited are no older in active time than when the outage began. Active time
 * advances by at most {@value #MAX_STEP_MS} ms between two batches. The state is a pure function of
 * the batches' times, so every VM computes the same one.
 *
 * <p>Invariants: neither time ever decreases; active time grows no faster than the batches' times.
 * Not thread-safe; guarded by the ledger's lock.
 */
final class ActiveClock {
    /** The most by which active time advances between two batches, in milliseconds. */
    static final long MAX_STEP_MS = 60_000;

    /**
     * How many idle periods are kept; each one takes at least {@link #MAX_STEP_MS} to come about.
     */
    private static final int MAX_IDLE_PERIODS = 128;

    private final Deque<IdlePeriod> mIdle = new ArrayDeque<>();
    private long mTimeMs;
    private long mActiveMs;

    /**
     * A period during which active time did not advance.
     *
     * @param fromMs start of the period, in milliseconds
     * @param toMs end of the period, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record IdlePeriod(long fromMs, long toMs) {}

    /**
     * The clock's state as it is stored in a checkpoint.
     *
     * @param timeMs the latest batch time so far, in milliseconds
     * @param activeMs the active time, in milliseconds
     * @param idle the idle periods that are kept, oldest first
     */
    record Snapshot(long timeMs, long activeMs, List<IdlePeriod> idle) {}

    ActiveClock() {}

    ActiveClock(Snapshot saved) {
        mTimeMs = saved.timeMs();
        mActiveMs = saved.activeMs();
        mIdle.addAll(saved.idle());
    }

    /**
     * Advances to the time of the next batch; a time before the last one counts as the last one.
     */
    void advance(long batchMs) {
        if (mTimeMs == 0) {
            mTimeMs = batchMs;
            return;
        }
        long step = batchMs - mTimeMs;
        if (step <= 0) {
            return;
        }
        if (step > MAX_STEP_MS) {
            mIdle.addLast(new IdlePeriod(mTimeMs + MAX_STEP_MS, batchMs));
            if (mIdle.size() > MAX_IDLE_PERIODS) {
                mIdle.removeFirst();
            }
        }
        mActiveMs += Math.min(step, MAX_STEP_MS);
        mTimeMs = batchMs;
    }

    /** Returns the latest batch time so far, in milliseconds. */
    long timeMs() {
        return mTimeMs;
    }

    /** Returns the active time, in milliseconds since the first batch. */
    long activeMs() {
        return mActiveMs;
    }

    /**
     * Returns how much active time has passed since {@code momentMs}, in milliseconds; 0 for a time
     * that is not before the latest batch.
     */
    long activeMsSince(long momentMs) {
        if (momentMs >= mTimeMs) {
            return 0;
        }
        long idle = 0;
        for (IdlePeriod period : mIdle) {
            idle += Math.max(0, period.toMs() - Math.max(period.fromMs(), momentMs));
        }
        return mTimeMs - momentMs - idle;
    }

    Snapshot snapshot() {
        return new Snapshot(mTimeMs, mActiveMs, List.copyOf(mIdle));
    }
}
