package org.hornbeampass.coordination.quarantine;

/**
 * What the crashes known so far say of a request.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum QuarantineStatus {
    /** No upstream crashed under it since it was last answered whole. */
    UNSUSPECTED(true, true),
    /** Upstreams crashed under it, though others may have been the cause. */
    SUSPECTED(true, false),
    /** So many upstreams crashed under it that it runs nowhere any more. */
    QUARANTINED(false, false);

    private final boolean mMayBeSent;
    private final boolean mMayBeRetried;

    QuarantineStatus(boolean mayBeSent, boolean mayBeSentAgain) {
        mMayBeSent = mayBeSent;
        mMayBeRetried = mayBeSentAgain;
    }

    /** Returns whether it may go to an upstream at all. */
    public boolean mayBeSent() {
        return mMayBeSent;
    }

    /** Returns whether it may go to another upstream right after it lost one. */
    public boolean mayBeRetried() {
        return mMayBeRetried;
    }
}
