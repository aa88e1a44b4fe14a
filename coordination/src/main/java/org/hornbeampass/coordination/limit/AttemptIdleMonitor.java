package org.hornbeampass.coordination.limit;

/**
 * Watches the silence of one attempt.
 *
 * <p>Invariant: time during which this VM itself does not read the answer is no silence of the
 * upstream. Thread-safe: all state is guarded by its own monitor, a leaf in the order of locks.
 */
public final class AttemptIdleMonitor {
    private static final long REPORT_INTERVAL_MS = 100;

    private final AttemptTimeouts mTimeouts;
    private long mIdleSinceMs;
    private long mReportedAtMs;
    private long mLongestGapMs;
    private boolean mBegun;
    private boolean mPaused;

    /** Starts to watch an attempt that is sent now. */
    public AttemptIdleMonitor(long nowMs, AttemptTimeouts timeouts) {
        mTimeouts = timeouts;
        mIdleSinceMs = nowMs;
        mReportedAtMs = nowMs;
    }

    /**
     * Notes a part of the answer.
     *
     * @return the longest gap since the last one that was returned, in milliseconds, where {@link
     *     org.hornbeampass.coordination.routing.UpstreamChooser#onProgress} is to be told; -1 where
     *     that was told a moment ago
     */
    public synchronized long onPart(long nowMs) {
        if (mBegun) {
            mLongestGapMs = Math.max(mLongestGapMs, nowMs - mIdleSinceMs);
        }
        boolean first = !mBegun;
        mBegun = true;
        mIdleSinceMs = nowMs;
        if (!first && nowMs - mReportedAtMs < REPORT_INTERVAL_MS) {
            return -1;
        }
        long gapMs = mLongestGapMs;
        mLongestGapMs = 0;
        mReportedAtMs = nowMs;
        return gapMs;
    }

    /** Notes that this VM stops reading the answer. */
    public synchronized void onPaused() {
        mPaused = true;
    }

    /** Notes that this VM reads again. */
    public synchronized void onResumed(long nowMs) {
        mPaused = false;
        mIdleSinceMs = nowMs;
    }

    /**
     * Returns when to look again; a time that is not after {@code nowMs} means that the attempt is
     * to be given up now, and {@code Long.MAX_VALUE} that it never is.
     *
     * @param progressMs as in {@link AttemptTimeouts#giveUpAtMs}
     */
    public synchronized long nextCheckMs(long nowMs, long progressMs) {
        if (mPaused) {
            return nowMs + mTimeouts.idleMs();
        }
        return mTimeouts.giveUpAtMs(mIdleSinceMs, mBegun, progressMs);
    }
}
