package org.hornbeampass.coordination.limit;

/**
 * The closed list of ways in which one attempt at an upstream ends.
 *
 * <p>Each says whether a byte may have reached the upstream and whether it speaks against the
 * upstream. Immutable; safe for use by any thread.
 */
public enum AttemptOutcome {
    /** The whole answer came. */
    SUCCEEDED(true, UpstreamProblem.NONE),
    /** The upstream answered that the request itself is wrong. */
    REJECTED(true, UpstreamProblem.NONE),
    /** The attempt was given up before anything was sent. */
    NOT_SENT(false, UpstreamProblem.NONE),
    /** No connection could be made, so nothing was sent. */
    CONNECT_FAILED(false, UpstreamProblem.UNREACHABLE),
    /** The upstream refused for overload and says that it did not run the request. */
    REFUSED_OVERLOADED(true, UpstreamProblem.OVERLOAD),
    /** The upstream refused since it is leaving and says that it did not run the request. */
    REFUSED_LEAVING(true, UpstreamProblem.NONE),
    /** The upstream answered with a fault of its own. */
    UPSTREAM_ERROR(true, UpstreamProblem.FAULT),
    /** The connection broke after something was sent and before the answer began. */
    BROKEN_BEFORE_ANSWER(true, UpstreamProblem.FAULT),
    /** The connection broke in the middle of the answer. */
    BROKEN_IN_ANSWER(true, UpstreamProblem.FAULT),
    /** The attempt's time was up; it was cancelled. */
    TIMED_OUT(true, UpstreamProblem.FAULT),
    /** The upstream showed no progress for too long; the attempt was given up and cancelled. */
    SILENT(true, UpstreamProblem.UNREACHABLE),
    /** The caller went away or a hedge won; the attempt was cancelled. */
    CANCELLED(true, UpstreamProblem.NONE);

    /** What an outcome says about the upstream. */
    public enum UpstreamProblem {
        /** Nothing. */
        NONE,
        /** It has too much to do. */
        OVERLOAD,
        /** It may be faulty. */
        FAULT,
        /** It can't be reached, or does nothing. */
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

    /** Returns what the outcome says about the upstream. */
    public UpstreamProblem upstreamProblem() {
        return mUpstreamProblem;
    }

    /** Returns whether it counts as a failure of the upstream. */
    public boolean upstreamFailed() {
        return mUpstreamProblem == UpstreamProblem.FAULT
                || mUpstreamProblem == UpstreamProblem.UNREACHABLE;
    }

    /** Returns whether it shows that the upstream does its work. */
    public boolean showsUpstreamHealthy() {
        return this == SUCCEEDED || this == REJECTED;
    }
}
