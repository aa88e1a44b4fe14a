package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.upstream.LoadReport;

/**
 * Estimates an upstream's load from this VM's own requests and from the upstream's delayed load
 * reports.
 *
 * <p>Own requests count at once. The load of others is estimated from a report by subtracting the
 * requests that this VM had in flight when the report was made; its weight decreases as the report
 * ages. Guarded by {@link UpstreamTable#lock()}.
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

    /** Returns the number of this VM's requests in progress there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the number of this VM's requests there that have not received their first token. */
    public int awaitingFirstToken() {
        return mAwaitingFirstToken;
    }

    /**
     * Returns the running and waiting requests of the last report, regardless of its age; 0 without
     * a report.
     */
    public int reported() {
        return mReportedLoad;
    }

    /** Returns whether any report has been received. */
    public boolean hasReport() {
        return mReportedAtMs != Long.MIN_VALUE;
    }

    /** Returns the load of others at the time of the last report, in requests. */
    public int othersLoad() {
        return mOthersLoad;
    }

    /** Returns the weight of the last report, from 1 (new) down to 0 (old, or no report). */
    public double reportWeight(long nowMs) {
        if (!hasReport()) {
            return 0;
        }
        return 1 / (1 + Math.max(0, nowMs - mReportedAtMs) / REPORT_HALF_WEIGHT_AGE_MS);
    }

    /**
     * Returns the smoothed time to first token per request in progress, in milliseconds; 0 before
     * the first token.
     */
    public double msPerRequest() {
        return mMsPerRequest;
    }

    /** Returns the smoothed time to first token in milliseconds; 0 before the first token. */
    public double firstTokenMs() {
        return mFirstTokenMs;
    }

    /**
     * Returns for how long requests have waited there without any progress, in milliseconds; 0
     * where none is waiting for its first token.
     */
    public long silentMs(long nowMs) {
        if (mAwaitingFirstToken == 0) {
            return 0;
        }
        return Math.max(0, nowMs - Math.max(mAwaitingSinceMs, mLastProgressMs));
    }

    /**
     * Returns the smoothed longest gap between the parts of an answer, in milliseconds; 0 where
     * none is known.
     */
    public double gapMs() {
        return mGapMs;
    }

    /**
     * Returns when any request of this VM last made progress there, in milliseconds; {@code
     * Long.MIN_VALUE} where none has.
     */
    public long lastProgressMs() {
        return mLastProgressMs;
    }

    /**
     * Returns whether reports arrived regularly and have stopped: the upstream may have failed, be
     * unreachable or hang.
     */
    public boolean reportsStopped(long nowMs) {
        return mReportIntervalMs > 0
                && nowMs - mReportReceivedAtMs
                        > Math.max(MIN_REPORT_GAP_MS, REPORT_GAP_RATIO * mReportIntervalMs);
    }

    /**
     * Records progress of an answer and the longest recent gap between its parts; 0 leaves the gap
     * unchanged.
     */
    void onProgress(long nowMs, long longestGapMs) {
        mLastProgressMs = Math.max(mLastProgressMs, nowMs);
        mGapMs = longestGapMs > 0 ? smooth(mGapMs, (double) longestGapMs) : mGapMs;
    }

    /** Counts a request that was routed to this upstream. */
    void onStarted(long nowMs) {
        mInFlight++;
        mAwaitingFirstToken++;
        if (mAwaitingFirstToken == 1) {
            mAwaitingSinceMs = nowMs;
        }
        recordInFlight(nowMs);
    }

    /**
     * Records a first token.
     *
     * @param loadAtStart the estimated load when the request was sent, without the request itself
     */
    void onFirstToken(long nowMs, double waitedMs, double loadAtStart) {
        mAwaitingFirstToken--;
        mLastProgressMs = nowMs;
        mFirstTokenMs = smooth(mFirstTokenMs, waitedMs);
        mMsPerRequest = smooth(mMsPerRequest, waitedMs / (loadAtStart + 1));
    }

    /** Records the end of a request. */
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

    /** Applies a load report; a report older than the last one is ignored. */
    void onReport(long nowMs, LoadReport report) {
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

    /** Discards reports and latencies because a new incarnation has started. */
    void reset() {
        mReportedAtMs = Long.MIN_VALUE;
        mReportReceivedAtMs = Long.MIN_VALUE;
        mReportIntervalMs = 0;
        mReportedLoad = 0;
        mOthersLoad = 0;
        resetLatency();
    }

    /** Discards latencies, so that an upstream that was ejected for them is measured again. */
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
