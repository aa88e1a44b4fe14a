package org.hornbeampass.coordination.limit;

/**
 * Tracks the idle time of one attempt and says when to give it up.
 *
 * <p>Invariant: time during which this VM does not read the answer does not count as idle time of
 * the upstream. Thread-safe: all state is guarded by its own monitor, a leaf in the lock order.
 */
public final class AttemptIdleMonitor {
    private static final long REPORT_INTERVAL_MS = 100;

    private final AttemptTimeouts mTimeouts;
    private long mIdleSinceMs;
    private long mReportedAtMs;
    private long mLongestGapMs;
    private boolean mStarted;
    private boolean mPaused;

    /** Creates a monitor of an attempt that is sent now. */
    public AttemptIdleMonitor(long nowMs, AttemptTimeouts timeouts) {
        mTimeouts = timeouts;
        mIdleSinceMs = nowMs;
        mReportedAtMs = nowMs;
    }

    /**
     * Records a part of the answer.
     *
     * @return the longest gap between parts since the last gap that was returned, in milliseconds,
     *     to be passed to {@link org.hornbeampass.coordination.routing.UpstreamChooser#onProgress};
     *     -1 if the last report was so recent that none is due
     */
    public synchronized long onPart(long nowMs) {
        if (mStarted) {
            mLongestGapMs = Math.max(mLongestGapMs, nowMs - mIdleSinceMs);
        }
        boolean first = !mStarted;
        mStarted = true;
        mIdleSinceMs = nowMs;
        if (!first && nowMs - mReportedAtMs < REPORT_INTERVAL_MS) {
            return -1;
        }
        long gapMs = mLongestGapMs;
        mLongestGapMs = 0;
        mReportedAtMs = nowMs;
        return gapMs;
    }

    /** Records that this VM has stopped reading the answer. */
    public synchronized void onPaused() {
        mPaused = true;
    }

    /** Records that this VM reads the answer again. */
    public synchronized void onResumed(long nowMs) {
        mPaused = false;
        mIdleSinceMs = nowMs;
    }

    /**
     * Returns when to check again, in milliseconds; a time that is not after {@code nowMs} means
     * that the attempt must be given up now, and {@code Long.MAX_VALUE} that no check is needed.
     *
     * @param lastProgressMs as in {@link AttemptTimeouts#giveUpAtMs}
     */
    public synchronized long nextCheckMs(long nowMs, long lastProgressMs) {
        if (mPaused) {
            return nowMs + mTimeouts.idleMs();
        }
        return mTimeouts.giveUpAtMs(mIdleSinceMs, mStarted, lastProgressMs);
    }
}
