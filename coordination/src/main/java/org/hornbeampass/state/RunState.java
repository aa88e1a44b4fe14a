package org.hornbeampass.state;

/**
 * Whether a refused or failed request ran at an upstream.
 *
 * <p>Invariant: {@link #NOT_RUN} is only ever reported when no byte of the request left for an
 * upstream. Immutable; safe for use by any thread.
 */
public enum RunState {
    /** No byte of the request was sent to an upstream. */
    NOT_RUN("not_run"),
    /** The upstream ran the request, at least in part. */
    RAN("ran"),
    /** A byte may have reached an upstream and no answer tells what came of it. */
    UNKNOWN("unknown");

    private final String mWireName;

    RunState(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name used in error bodies and headers. */
    public String wireName() {
        return mWireName;
    }
}
