package org.hornbeampass.state;

/**
 * Whether a refused or failed request ran at an upstream.
 *
 * <p>Invariant: {@link #NOT_RUN} is only reported if no byte of the request was sent to an
 * upstream. Immutable; safe for use by any thread.
 */
public enum RunState {
    /** No byte of the request was sent to an upstream. */
    NOT_RUN("not_run"),
    /** An upstream ran the request at least in part. */
    RAN("ran"),
    /** The request may have reached an upstream, and its outcome is not known. */
    UNKNOWN("unknown");

    private final String mWireName;

    RunState(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name that is used in error bodies and headers. */
    public String wireName() {
        return mWireName;
    }
}
