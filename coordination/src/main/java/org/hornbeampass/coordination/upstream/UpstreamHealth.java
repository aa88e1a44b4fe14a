package org.hornbeampass.coordination.upstream;

import org.hornbeampass.coordination.limit.AttemptOutcome;

/**
 * Tracks one upstream's failures, ejection and recovery as this VM sees them.
 *
 * <p>Invariants: an ejected upstream gets no requests until the ejection expires, and then one
 * request at a time until enough of them have succeeded; each further ejection without a recovery
 * in between lasts twice as long, up to a bound. Guarded by {@link UpstreamTable#lock()}.
 */
public final class UpstreamHealth {
    private static final int WINDOW_MS = 10_000;
    private static final int PROBES_TO_RECOVER = 3;
    private static final long FIRST_EJECTION_MS = 2_000;
    private static final int MAX_DOUBLINGS = 4;
    private static final double ERROR_SMOOTHING = 0.1;

    /** Whether an upstream gets requests. */
    public enum State {
        /** It gets requests. */
        HEALTHY,
        /** It gets no requests. */
        EJECTED,
        /** It gets one request at a time, to find out whether it has recovered. */
        PROBING
    }

    private State mState = State.HEALTHY;
    private int mConsecutiveFailures;
    private int mConsecutiveUnreachable;
    private int mProbeSuccesses;
    private int mEjections;
    private long mEjectedUntilMs;
    private long mRecoveredAtMs = Long.MIN_VALUE;
    private long mWindowStartMs;
    private int mOutcomes;
    private int mFailures;
    private int mPreviousOutcomes;
    private int mPreviousFailures;
    private double mErrorShare;

    /** Returns the state; an expired ejection changes to probing. */
    public State state(long nowMs) {
        if (mState == State.EJECTED && nowMs >= mEjectedUntilMs) {
            mState = State.PROBING;
            mProbeSuccesses = 0;
        }
        return mState;
    }

    /** Returns whether another request may be sent while {@code inFlight} are in progress. */
    public boolean admits(long nowMs, int inFlight) {
        State state = state(nowMs);
        return state == State.HEALTHY || (state == State.PROBING && inFlight == 0);
    }

    /** Returns the number of consecutive failures. */
    public int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    /** Returns the number of consecutive failures in which the upstream was unreachable. */
    public int consecutiveUnreachable() {
        return mConsecutiveUnreachable;
    }

    /** Returns the smoothed share of failures, from 0 to 1. */
    public double errorShare() {
        return mErrorShare;
    }

    /** Returns when the upstream last recovered; {@code Long.MIN_VALUE} where it never did. */
    public long recoveredAtMs() {
        return mRecoveredAtMs;
    }

    /** Returns the number of outcomes in this and the previous window of {@value #WINDOW_MS} ms. */
    int recentOutcomes(long nowMs) {
        rotateWindow(nowMs);
        return mOutcomes + mPreviousOutcomes;
    }

    /** Returns the number of failures in the same time. */
    int recentFailures(long nowMs) {
        rotateWindow(nowMs);
        return mFailures + mPreviousFailures;
    }

    /** Records an outcome. */
    void record(long nowMs, AttemptOutcome outcome) {
        rotateWindow(nowMs);
        if (outcome.upstreamFailed()) {
            onFailure(outcome);
        } else if (outcome.showsUpstreamHealthy()) {
            onSuccess(nowMs);
        }
    }

    /** Ejects the upstream from now on. */
    void eject(long nowMs) {
        int doublings = Math.min(MAX_DOUBLINGS, mEjections);
        mEjections++;
        mState = State.EJECTED;
        mEjectedUntilMs = nowMs + (FIRST_EJECTION_MS << doublings);
        mOutcomes = 0;
        mFailures = 0;
        mPreviousOutcomes = 0;
        mPreviousFailures = 0;
    }

    /** Discards all failures because a new incarnation has started. */
    void reset(long nowMs) {
        mState = State.HEALTHY;
        mEjections = 0;
        mConsecutiveFailures = 0;
        mConsecutiveUnreachable = 0;
        mErrorShare = 0;
        mRecoveredAtMs = nowMs;
    }

    private void onFailure(AttemptOutcome outcome) {
        mOutcomes++;
        mFailures++;
        mConsecutiveFailures++;
        boolean unreachable =
                outcome.upstreamProblem() == AttemptOutcome.UpstreamProblem.UNREACHABLE;
        mConsecutiveUnreachable = unreachable ? mConsecutiveUnreachable + 1 : 0;
        mErrorShare += ERROR_SMOOTHING * (1 - mErrorShare);
    }

    private void onSuccess(long nowMs) {
        mOutcomes++;
        mConsecutiveFailures = 0;
        mConsecutiveUnreachable = 0;
        mErrorShare -= ERROR_SMOOTHING * mErrorShare;
        if (mState != State.PROBING) {
            return;
        }
        mProbeSuccesses++;
        if (mProbeSuccesses >= PROBES_TO_RECOVER) {
            mState = State.HEALTHY;
            mEjections = 0;
            mErrorShare = 0;
            mRecoveredAtMs = nowMs;
        }
    }

    private void rotateWindow(long nowMs) {
        if (nowMs - mWindowStartMs < WINDOW_MS) {
            return;
        }
        boolean adjacent = nowMs - mWindowStartMs < 2 * WINDOW_MS;
        mPreviousOutcomes = adjacent ? mOutcomes : 0;
        mPreviousFailures = adjacent ? mFailures : 0;
        mOutcomes = 0;
        mFailures = 0;
        mWindowStartMs = nowMs;
    }
}
