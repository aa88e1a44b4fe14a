package org.hornbeampass.coordination.limit;

/**
 * The possible outcomes of one attempt at an upstream.
 *
 * <p>Each says whether a byte may have reached the upstream and which problem of the upstream it
 * indicates. Immutable; safe for use by any thread.
 */
public enum AttemptOutcome {
    /** The complete answer was received. */
    SUCCEEDED(true, UpstreamProblem.NONE),
    /** The upstream answered that the request is invalid. */
    REJECTED(true, UpstreamProblem.NONE),
    /** The attempt was abandoned before anything was sent. */
    NOT_SENT(false, UpstreamProblem.NONE),
    /** No connection could be made, so nothing was sent. */
    CONNECT_FAILED(false, UpstreamProblem.UNREACHABLE),
    /**
     * The upstream refused the request because of overload, and says that it did not run the
     * request.
     */
    REFUSED_OVERLOADED(true, UpstreamProblem.OVERLOAD),
    /**
     * The upstream refused the request because it is leaving, and says that it did not run the
     * request.
     */
    REFUSED_LEAVING(true, UpstreamProblem.NONE),
    /** The upstream answered with an error of its own. */
    UPSTREAM_ERROR(true, UpstreamProblem.FAULT),
    /** The connection failed after something was sent and before the answer began. */
    BROKEN_BEFORE_ANSWER(true, UpstreamProblem.FAULT),
    /** The connection failed during the answer. */
    BROKEN_IN_ANSWER(true, UpstreamProblem.FAULT),
    /** The attempt timed out and was cancelled. */
    TIMED_OUT(true, UpstreamProblem.FAULT),
    /** The upstream made no progress for too long, and the attempt was cancelled. */
    SILENT(true, UpstreamProblem.UNREACHABLE),
    /**
     * The caller disconnected or another attempt of the request answered first, and the attempt was
     * cancelled.
     */
    CANCELLED(true, UpstreamProblem.NONE);

    /** The problem of the upstream that an outcome indicates. */
    public enum UpstreamProblem {
        /** No problem. */
        NONE,
        /** The upstream is overloaded. */
        OVERLOAD,
        /** The upstream may be faulty. */
        FAULT,
        /** The upstream can't be reached or makes no progress. */
        UNREACHABLE
    }

    private final boolean mMayHaveSent;
    private final UpstreamProblem mUpstreamProblem;

    AttemptOutcome(boolean mayHaveSent, UpstreamProblem blame) {
        mMayHaveSent = mayHaveSent;
        mUpstreamProblem = blame;
    }

    /** Returns whether a byte of the request may have reached the upstream. */
    public boolean mayHaveSent() {
        return mMayHaveSent;
    }

    /** Returns the problem of the upstream that the outcome indicates. */
    public UpstreamProblem upstreamProblem() {
        return mUpstreamProblem;
    }

    /** Returns whether the outcome counts as a failure of the upstream. */
    public boolean upstreamFailed() {
        return mUpstreamProblem == UpstreamProblem.FAULT
                || mUpstreamProblem == UpstreamProblem.UNREACHABLE;
    }

    /** Returns whether the outcome shows that the upstream is healthy. */
    public boolean showsUpstreamHealthy() {
        return this == SUCCEEDED || this == REJECTED;
    }
}
