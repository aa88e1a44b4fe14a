package org.hornbeampass.state.service;

/**
 * What may be repeated of a route's requests, and in which form they are answered.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum RouteKind {
    /** Answers in one piece; may run any number of times. */
    IDEMPOTENT(true, false),
    /** Answers in one piece; runs at most once. */
    NON_IDEMPOTENT(false, false),
    /** Answers with a series of events; runs at most once unless its route can be resumed. */
    STREAMING(false, true);

    private final boolean mRepeatable;
    private final boolean mStreams;

    RouteKind(boolean repeatable, boolean streams) {
        mRepeatable = repeatable;
        mStreams = streams;
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @param resumable whether the route's streams can go on at another upstream
     */
    public boolean mayRunAgain(boolean resumable) {
        return mRepeatable || (mStreams && resumable);
    }

    /** Returns whether the answer is a series of events. */
    public boolean streams() {
        return mStreams;
    }

    /** Returns whether an upstream should stop at once when the caller leaves. */
    public boolean cancelsOnCallerDisconnect() {
        return mRepeatable || mStreams;
    }
}
