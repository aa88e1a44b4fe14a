package org.hornbeampass.state.service;

import org.hornbeampass.state.ErrorKind;

/**
 * Whether the requests of a route may be repeated, and the form of their answers.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum RouteKind {
    /** Answered by a single response; may run any number of times. */
    IDEMPOTENT(true, false),
    /** Answered by a single response; runs at most once. */
    NON_IDEMPOTENT(false, false),
    /** Answered by a stream of events; runs at most once unless the route is resumable. */
    STREAMING(false, true);

    private final boolean mRepeatable;
    private final boolean mStreaming;

    RouteKind(boolean repeatable, boolean streams) {
        mRepeatable = repeatable;
        mStreaming = streams;
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @param resumable whether streams of the route can be resumed at another upstream
     */
    public boolean mayRunAgain(boolean resumable) {
        return mRepeatable || (mStreaming && resumable);
    }

    /** Returns whether the answer is a stream of events. */
    public boolean streams() {
        return mStreaming;
    }

    /** Returns whether an upstream should stop at once when the caller disconnects. */
    public boolean cancelsOnCallerDisconnect() {
        return mRepeatable || mStreaming;
    }

    /** Returns the error of a request that was lost after it may have run. */
    public ErrorKind lossError() {
        return this == NON_IDEMPOTENT ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.UPSTREAM_FAILED;
    }
}
