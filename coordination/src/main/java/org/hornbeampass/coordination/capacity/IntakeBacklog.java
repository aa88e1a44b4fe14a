package org.hornbeampass.coordination.capacity;

import java.util.Arrays;

/**
 * How long a new request waits at its VM before it is handled, for a VM whose callers ask for more
 * than its processor can do.
 *
 * <p>It is the sum of the time until the request is read, which is the delay of the event loop, and
 * of the time from there to its handover: the larger one of the smoothed recent times and of the
 * requests that wait times the usual time between handovers. Invariant: a single late tick counts
 * as no delay, since its stall is over when it is seen. All times are in milliseconds. Confined to
 * one thread.
 */
public final class IntakeBacklog {
    /** The ticks of which the median delay counts; two late ones are a lasting delay. */
    private static final int TICKS = 3;

    /** The weight of one handover in the smoothed times. */
    private static final double WEIGHT = 1.0 / 8;

    /** The longest time between two handovers that counts; a longer one was a stall. */
    private static final double MAX_COST_MS = 50;

    /** The time in which a smoothed time falls by half while nothing is handed over. */
    private static final double HALF_LIFE_MS = 250;

    private final long mTickMs;
    private final long[] mLateMs = new long[TICKS];
    private int mTicks;
    private long mLastTickMs = -1;
    private long mLastHandoverMs = -1;
    private double mWaitMs;
    private double mCostMs;

    /** Creates the backlog of a VM whose event loop runs a tick at an interval. */
    public IntakeBacklog(long tickMs) {
        mTickMs = tickMs;
    }

    /** Records a tick of the event loop, whose lateness is the loop's delay. */
    public void onTick(long nowMs) {
        if (mLastTickMs >= 0) {
            mLateMs[mTicks++ % TICKS] = Math.max(0, nowMs - mLastTickMs - mTickMs);
        }
        mLastTickMs = nowMs;
    }

    /** Records the handover of a request whose head was read at a time. */
    public void onHandover(long nowMs, long readMs) {
        double waitMs = waitMs(nowMs);
        mWaitMs = waitMs + WEIGHT * (nowMs - readMs - waitMs);
        if (mLastHandoverMs >= readMs) {
            // It already waited at the handover before it, so that the time between is busy.
            double costMs = Math.min(MAX_COST_MS, (double) (nowMs - mLastHandoverMs));
            mCostMs += WEIGHT * (costMs - mCostMs);
        }
        mLastHandoverMs = nowMs;
    }

    private double waitMs(long nowMs) {
        double idleMs = mLastHandoverMs < 0 ? 0 : (double) (nowMs - mLastHandoverMs);
        return mWaitMs * Math.pow(2, -idleMs / HALF_LIFE_MS);
    }

    /**
     * Returns how long a request that arrives now is expected to wait.
     *
     * @param waiting the requests that were read but not yet handed over
     */
    public double delayMs(long nowMs, int waiting) {
        return (double) loopDelayMs() + Math.max(waitMs(nowMs), waiting * mCostMs);
    }

    private long loopDelayMs() {
        long[] sorted = mLateMs.clone();
        Arrays.sort(sorted);
        return sorted[TICKS / 2];
    }
}
