package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.upstream.LoadReport;

/**
 * Estimates an upstream's load from this VM's own requests and from the upstream's late reports.
 *
 * <p>Own requests count at once. A report is a hint: what this VM had in flight when the report was
 * made is subtracted, so that the rest is the load of others, and the rest counts less as the
 * report ages. Guarded by the table's lock.
 */
public final class LoadEstimate {
    private static final int HISTORY = 128;
    private static final double AGE_HALVING_MS = 1_000;
    private static final double SMOOTHING = 0.2;
    private static final double MIN_REPORT_SILENCE_MS = 1_000;
    private static final double REPORT_SILENCE_RATIO = 3;

    private final long[] mChangeMs = new long[HISTORY];
    private final int[] mChangeInFlight = new int[HISTORY];
    private int mChanges;
    private int mInFlight;
    private int mAwaitingFirst;
    private long mReportedAtMs = Long.MIN_VALUE;
    private int mReported;
    private int mOthers;
    private double mUnitMs;
    private double mFirstTokenMs;
    private double mGapMs;
    private double mReportEveryMs;
    private long mReportCameAtMs = Long.MIN_VALUE;
    private long mLastProgressMs = Long.MIN_VALUE;
    private long mAwaitingSinceMs = Long.MAX_VALUE;

    /** Returns this VM's own requests in progress there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns this VM's own requests there that have not had their first token. */
    public int awaitingFirst() {
        return mAwaitingFirst;
    }

    /** Returns running and waiting requests as last reported, however old; 0 without a report. */
    public int reported() {
        return mReported;
    }

    /** Returns whether any report arrived. */
    public boolean hasReport() {
        return mReportedAtMs != Long.MIN_VALUE;
    }

    /** Returns the load by others when the last report was made. */
    public int others() {
        return mOthers;
    }

    /** Returns how much the last report counts now, from 1 (fresh) towards 0 (old). */
    public double reportWeight(long nowMs) {
        if (!hasReport()) {
            return 0;
        }
        return 1 / (1 + Math.max(0, nowMs - mReportedAtMs) / AGE_HALVING_MS);
    }

    /** Returns the smoothed time to first token per request in progress; 0 before the first. */
    public double unitMs() {
        return mUnitMs;
    }

    /** Returns the smoothed time to first token in milliseconds; 0 before the first. */
    public double firstTokenMs() {
        return mFirstTokenMs;
    }

    /**
     * Returns for how long requests have waited there without any sign of progress, in
     * milliseconds; 0 where none waits.
     */
    public long silentMs(long nowMs) {
        if (mAwaitingFirst == 0) {
            return 0;
        }
        return Math.max(0, nowMs - Math.max(mAwaitingSinceMs, mLastProgressMs));
    }

    /** Returns the smoothed longest gaps between parts of answers, in milliseconds. */
    public double gapMs() {
        return mGapMs;
    }

    /**
     * Returns when any request of this VM last made progress there, in milliseconds; {@code
     * Long.MIN_VALUE} where none did.
     */
    public long lastProgressMs() {
        return mLastProgressMs;
    }

    /**
     * Returns whether reports came regularly and have stopped: the upstream may be dead,
     * unreachable or frozen.
     */
    public boolean reportsStopped(long nowMs) {
        return mReportEveryMs > 0
                && nowMs - mReportCameAtMs
                        > Math.max(MIN_REPORT_SILENCE_MS, REPORT_SILENCE_RATIO * mReportEveryMs);
    }

    /** Learns that an answer goes on, and the longest gap between its parts of late. */
    void progress(long nowMs, long gapMs) {
        mLastProgressMs = Math.max(mLastProgressMs, nowMs);
        mGapMs = gapMs > 0 ? smooth(mGapMs, (double) gapMs) : mGapMs;
    }

    /** Counts a request that was chosen to go there. */
    void started(long nowMs) {
        mInFlight++;
        mAwaitingFirst++;
        if (mAwaitingFirst == 1) {
            mAwaitingSinceMs = nowMs;
        }
        remember(nowMs);
    }

    /**
     * Learns from a first token.
     *
     * @param loadAtStart the estimated load when the request was sent, itself not counted
     */
    void firstToken(long nowMs, double waitedMs, double loadAtStart) {
        mAwaitingFirst--;
        mLastProgressMs = nowMs;
        mFirstTokenMs = smooth(mFirstTokenMs, waitedMs);
        mUnitMs = smooth(mUnitMs, waitedMs / (loadAtStart + 1));
    }

    /** Counts a request that ended. */
    void ended(long nowMs, boolean awaitedFirst, boolean progress) {
        if (awaitedFirst) {
            mAwaitingFirst--;
        }
        if (progress) {
            mLastProgressMs = nowMs;
        }
        mInFlight--;
        remember(nowMs);
    }

    /** Takes a report; one older than the last is ignored. */
    void reported(long nowMs, LoadReport report) {
        if (mReportCameAtMs != Long.MIN_VALUE && nowMs > mReportCameAtMs) {
            mReportEveryMs = smooth(mReportEveryMs, (double) (nowMs - mReportCameAtMs));
        }
        mReportCameAtMs = nowMs;
        if (report.reportedAtMs() < mReportedAtMs) {
            return;
        }
        mReportedAtMs = report.reportedAtMs();
        mReported = report.running() + report.waiting();
        mOthers = Math.max(0, mReported - inFlightAt(report.reportedAtMs()));
    }

    /** Forgets reports and latencies, since another life began. */
    void restart() {
        mReportedAtMs = Long.MIN_VALUE;
        mReportCameAtMs = Long.MIN_VALUE;
        mReportEveryMs = 0;
        mReported = 0;
        mOthers = 0;
        forgetLatency();
    }

    /** Forgets latencies, so that an upstream that was ejected for them is judged anew. */
    void forgetLatency() {
        mUnitMs = 0;
        mFirstTokenMs = 0;
        mGapMs = 0;
    }

    private static double smooth(double before, double sample) {
        return before == 0 ? sample : before + SMOOTHING * (sample - before);
    }

    private void remember(long nowMs) {
        int slot = mChanges % HISTORY;
        mChangeMs[slot] = nowMs;
        mChangeInFlight[slot] = mInFlight;
        mChanges++;
    }

    private int inFlightAt(long timeMs) {
        int oldest = Math.max(0, mChanges - HISTORY);
        for (int i = mChanges - 1; i >= oldest; i--) {
            if (mChangeMs[i % HISTORY] <= timeMs) {
                return mChangeInFlight[i % HISTORY];
            }
        }
        return oldest == 0 ? 0 : mChangeInFlight[oldest % HISTORY];
    }
}
