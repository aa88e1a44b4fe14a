package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;

/**
 * How often one request was sent, and how often it may be sent still.
 *
 * <p>Invariant: a send that an upstream said it did not run is counted as no run; one that met
 * another upstream than meant does not count against the route's attempts either. Confined to one
 * event loop.
 */
final class SendCounts {
    private final Route mRoute;
    private int mSends;
    private int mRuns;
    private int mUnreachable;
    private int mMismatches;
    private int mDenied;

    SendCounts(Route route) {
        mRoute = route;
    }

    /** Counts a send; returns whether it is the request's first. */
    boolean onSent() {
        mRuns++;
        return mSends++ == 0;
    }

    /** Counts the word of an upstream that it did not run the last send. */
    void onNotRun(AnswerOutcome outcome) {
        mRuns--;
        if (outcome == AnswerOutcome.WRONG_UPSTREAM) {
            mMismatches++;
        }
    }

    /** Counts an upstream that can't be reached; returns whether there were too many. */
    boolean onUnreachable() {
        mUnreachable++;
        return mUnreachable >= RelayBounds.MAX_UNREACHABLE_UPSTREAMS;
    }

    /** Counts a permit that was denied; returns whether there were too many. */
    boolean onPermitDenied() {
        mDenied++;
        return mDenied >= RelayBounds.MAX_DENIED_PERMITS;
    }

    /** Returns whether a further send has to be taken out of the fleet's budget. */
    boolean sentBefore() {
        return mSends > 0;
    }

    /** Returns whether a send may have run: all but those that an upstream said it did not run. */
    boolean mayHaveRun() {
        return mRuns > 0;
    }

    /** Returns whether the route's attempts leave another send. */
    boolean hasAttemptsLeft() {
        return mSends - mMismatches < mRoute.maxAttempts();
    }

    /** Returns whether the request may be sent again after it was not run. */
    boolean mayResend() {
        return mMismatches <= RelayBounds.MAX_MISMATCHES && hasAttemptsLeft();
    }

    /** Returns the counts as fields of a log line. */
    LogFields fields() {
        return new LogFields()
                .add("sends", mSends)
                .add("unreachable", mUnreachable)
                .add("denied", mDenied);
    }
}
