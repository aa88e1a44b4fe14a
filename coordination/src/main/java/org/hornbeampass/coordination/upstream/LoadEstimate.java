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
    private static final int HISTORY_SIZE = 128;
    private static final double REPORT_HALF_WEIGHT_AGE_MS = 1_000;
    private static final double SMOOTHING = 0.2;
    private static final double MIN_REPORT_GAP_MS = 1_000;
    private static final double REPORT_GAP_RATIO = 3;

    private final long[] mChangeMs = new long[HISTORY_SIZE];
    private final int[] mChangeInFlight = new int[HISTORY_SIZE];
    private int mChanges;
    private int mInFlight;
    private int mAwaitingFirstToken;
    private long mReportedAtMs = Long.MIN_VALUE;
    private int mReportedLoad;
    private int mOthersLoad;
    private double mMsPerRequest;
    private double mFirstTokenMs;
    private double mGapMs;
    private double mReportIntervalMs;
    private long mReportReceivedAtMs = Long.MIN_VALUE;
    private long mLastProgressMs = Long.MIN_VALUE;
    private long mAwaitingSinceMs = Long.MAX_VALUE;

    /** Returns this VM's own requests in progress there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns this VM's own requests there that have not had their first token. */
    public int awaitingFirstToken() {
        return mAwaitingFirstToken;
    }

    /** Returns running and waiting requests as last reported, however old; 0 without a report. */
    public int reported() {
        return mReportedLoad;
    }

    /** Returns whether any report arrived. */
    public boolean hasReport() {
        return mReportedAtMs != Long.MIN_VALUE;
    }

    /** Returns the load by others when the last report was made. */
    public int othersLoad() {
        return mOthersLoad;
    }

    /** Returns how much the last report counts now, from 1 (fresh) towards 0 (old). */
    public double reportWeight(long nowMs) {
        if (!hasReport()) {
            return 0;
        }
        return 1 / (1 + Math.max(0, nowMs - mReportedAtMs) / REPORT_HALF_WEIGHT_AGE_MS);
    }

    /** Returns the smoothed time to first token per request in progress; 0 before the first. */
    public double msPerRequest() {
        return mMsPerRequest;
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
        if (mAwaitingFirstToken == 0) {
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
        return mReportIntervalMs > 0
                && nowMs - mReportReceivedAtMs
                        > Math.max(MIN_REPORT_GAP_MS, REPORT_GAP_RATIO * mReportIntervalMs);
    }

    /** Learns that an answer goes on, and the longest gap between its parts of late. */
    void onProgress(long nowMs, long longestGapMs) {
        mLastProgressMs = Math.max(mLastProgressMs, nowMs);
        mGapMs = longestGapMs > 0 ? smooth(mGapMs, (double) longestGapMs) : mGapMs;
    }

    /** Counts a request that was chosen to go there. */
    void onStarted(long nowMs) {
        mInFlight++;
        mAwaitingFirstToken++;
        if (mAwaitingFirstToken == 1) {
            mAwaitingSinceMs = nowMs;
        }
        recordInFlight(nowMs);
    }

    /**
     * Learns from a first token.
     *
     * @param loadAtStart the estimated load when the request was sent, itself not counted
     */
    void onFirstToken(long nowMs, double waitedMs, double loadAtStart) {
        mAwaitingFirstToken--;
        mLastProgressMs = nowMs;
        mFirstTokenMs = smooth(mFirstTokenMs, waitedMs);
        mMsPerRequest = smooth(mMsPerRequest, waitedMs / (loadAtStart + 1));
    }

    /** Counts a request that ended. */
    void onEnded(long nowMs, boolean awaitedFirstToken, boolean progress) {
        if (awaitedFirstToken) {
            mAwaitingFirstToken--;
        }
        if (progress) {
            mLastProgressMs = nowMs;
        }
        mInFlight--;
        recordInFlight(nowMs);
    }

    /** Takes a report; one older than the last is ignored. */
    void reported(long nowMs, LoadReport report) {
        if (mReportReceivedAtMs != Long.MIN_VALUE && nowMs > mReportReceivedAtMs) {
            mReportIntervalMs = smooth(mReportIntervalMs, (double) (nowMs - mReportReceivedAtMs));
        }
        mReportReceivedAtMs = nowMs;
        if (report.reportedAtMs() < mReportedAtMs) {
            return;
        }
        mReportedAtMs = report.reportedAtMs();
        mReportedLoad = report.running() + report.waiting();
        mOthersLoad = Math.max(0, mReportedLoad - inFlightAt(report.reportedAtMs()));
    }

    /** Forgets reports and latencies, since another life began. */
    void reset() {
        mReportedAtMs = Long.MIN_VALUE;
        mReportReceivedAtMs = Long.MIN_VALUE;
        mReportIntervalMs = 0;
        mReportedLoad = 0;
        mOthersLoad = 0;
        resetLatency();
    }

    /** Forgets latencies, so that an upstream that was ejected for them is judged anew. */
    void resetLatency() {
        mMsPerRequest = 0;
        mFirstTokenMs = 0;
        mGapMs = 0;
    }

    private static double smooth(double average, double sample) {
        return average == 0 ? sample : average + SMOOTHING * (sample - average);
    }

    private void recordInFlight(long nowMs) {
        int slot = mChanges % HISTORY_SIZE;
        mChangeMs[slot] = nowMs;
        mChangeInFlight[slot] = mInFlight;
        mChanges++;
    }

    private int inFlightAt(long timeMs) {
        int oldest = Math.max(0, mChanges - HISTORY_SIZE);
        for (int i = mChanges - 1; i >= oldest; i--) {
            if (mChangeMs[i % HISTORY_SIZE] <= timeMs) {
                return mChangeInFlight[i % HISTORY_SIZE];
            }
        }
        return oldest == 0 ? 0 : mChangeInFlight[oldest % HISTORY_SIZE];
    }
}
