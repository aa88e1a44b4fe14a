package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The time of a shard of the log, as its batches give it, and its active time, which stands still
 * while nothing is appended.
 *
 * <p>Active time lets ids be forgotten by the log's own progress: after an outage of hours, the
 * bills that waited are as old in active time as they were when it began. Two batches are never
 * more than {@value #MAX_STEP_MS} ms apart in active time. A pure function of the batches' times,
 * so every VM computes the same.
 *
 * <p>Invariants: both times only grow; active time grows no faster than the batches' times. Not
 * thread-safe; the ledger's lock guards it.
 */
final class ActiveClock {
    /** The longest that active time moves between two batches. */
    static final long MAX_STEP_MS = 60_000;

    /** How many stretches without batches are kept; each takes at least one step to come about. */
    private static final int MAX_IDLE_PERIODS = 128;

    private final Deque<IdlePeriod> mIdle = new ArrayDeque<>();
    private long mTimeMs;
    private long mActiveMs;

    /**
     * A stretch of time in which active time stood still.
     *
     * @param fromMs its start
     * @param toMs its end
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record IdlePeriod(long fromMs, long toMs) {}

    /**
     * What a checkpoint keeps of the clock.
     *
     * @param timeMs the greatest batch time so far
     * @param activeMs the active time
     * @param idle the kept stretches, in their order
     */
    record Snapshot(long timeMs, long activeMs, List<IdlePeriod> idle) {}

    ActiveClock() {}

    ActiveClock(Snapshot saved) {
        mTimeMs = saved.timeMs();
        mActiveMs = saved.activeMs();
        mIdle.addAll(saved.idle());
    }

    /** Takes in the time of the next batch; a time before the last one counts as the last one. */
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

    /** Returns the greatest batch time so far, in milliseconds. */
    long timeMs() {
        return mTimeMs;
    }

    /** Returns the active time, in milliseconds since the first batch. */
    long activeMs() {
        return mActiveMs;
    }

    /**
     * Returns how much active time has passed since a moment, in milliseconds; 0 for the future.
     */
    long activeMsSince(long momentMs) {
        if (momentMs >= mTimeMs) {
            return 0;
        }
        long idle = 0;
        for (IdlePeriod stretch : mIdle) {
            idle += Math.max(0, stretch.toMs() - Math.max(stretch.fromMs(), momentMs));
        }
        return mTimeMs - momentMs - idle;
    }

    Snapshot snapshot() {
        return new Snapshot(mTimeMs, mActiveMs, List.copyOf(mIdle));
    }
}
