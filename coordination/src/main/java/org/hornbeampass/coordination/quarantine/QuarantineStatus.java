package org.hornbeampass.coordination.quarantine;

/**
 * Whether a request may run, given the crashes known so far.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum QuarantineStatus {
    /** No upstream crashed while running it since it was last answered completely. */
    UNSUSPECTED(true, true),
    /** Upstreams crashed while running it, but other requests may have been the cause. */
    SUSPECTED(true, false),
    /** So many upstreams crashed while running it that it is not sent to any upstream. */
    QUARANTINED(false, false);

    private final boolean mMayBeSent;
    private final boolean mMayBeRetried;

    QuarantineStatus(boolean mayBeSent, boolean mayBeSentAgain) {
        mMayBeSent = mayBeSent;
        mMayBeRetried = mayBeSentAgain;
    }

    /** Returns whether the request may be sent to an upstream. */
    public boolean mayBeSent() {
        return mMayBeSent;
    }

    /**
     * Returns whether the request may be sent to another upstream right after an upstream was lost
     * while running it.
     */
    public boolean mayBeRetried() {
        return mMayBeRetried;
    }
}
