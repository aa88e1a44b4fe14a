package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;

/**
 * Counts how often one request was sent, and decides how often it may still be sent.
 *
 * <p>Invariant: a send that its upstream stated it did not run does not count as a run; one that
 * reached a different upstream than intended does not count against the route's attempts either.
 * Confined to one event loop.
 */
final class SendCounts {
    private final Route mRoute;
    private int mSends;
    private long mFirstSearchMs = -1;
    private long mFirstSendMs = -1;
    private long mWorkBeganMs;
    private int mRuns;
    private int mUnreachable;
    private int mMismatches;
    private int mDenied;

    SendCounts(Route route) {
        mRoute = route;
    }

    /** Records the start of a search for an upstream. */
    void onSearch(long nowMs) {
        if (mFirstSearchMs < 0) {
            mFirstSearchMs = nowMs;
        }
    }

    /** Counts a send; returns whether it is the request's first. */
    boolean onSent(long nowMs) {
        if (mFirstSendMs < 0) {
            mFirstSendMs = nowMs;
        }
        if (mRuns == 0) {
            mWorkBeganMs = nowMs;
        }
        mRuns++;
        return mSends++ == 0;
    }

    /** Counts the last send as not run, as its upstream stated. */
    void onNotRun(AnswerOutcome outcome) {
        mRuns--;
        if (outcome == AnswerOutcome.WRONG_UPSTREAM) {
            mMismatches++;
        }
    }

    /** Counts an unreachable upstream; returns whether there were too many. */
    boolean onUnreachable() {
        mUnreachable++;
        return mUnreachable >= RelayBounds.MAX_UNREACHABLE_UPSTREAMS;
    }

    /** Counts a denied permit; returns whether there were too many. */
    boolean onPermitDenied() {
        mDenied++;
        return mDenied >= RelayBounds.MAX_DENIED_PERMITS;
    }

    /** Returns whether the next send is a retry, which uses up the fleet's retry limit. */
    boolean sentBefore() {
        return mSends > 0;
    }

    /**
     * Returns whether an upstream may have run the request: true once any send was made that its
     * upstream did not state as not run.
     */
    boolean mayHaveRun() {
        return mRuns > 0;
    }

    /** Returns for how long upstreams have worked on the request, in milliseconds. */
    long workedMs(long nowMs) {
        return mayHaveRun() ? nowMs - mWorkBeganMs : 0;
    }

    /** Returns whether the route allows another attempt. */
    boolean hasAttemptsLeft() {
        return mSends - mMismatches < mRoute.maxAttempts();
    }

    /** Returns whether the request may be sent again after an upstream did not run it. */
    boolean mayResend() {
        return mMismatches <= RelayBounds.MAX_MISMATCHES && hasAttemptsLeft();
    }

    /** Returns the counts as fields of a log line. */
    LogFields fields() {
        return new LogFields()
                .add("sends", mSends)
                .add("search_ms", mFirstSendMs < 0 ? -1 : mFirstSendMs - mFirstSearchMs)
                .add("unreachable", mUnreachable)
                .add("denied", mDenied);
    }
}
