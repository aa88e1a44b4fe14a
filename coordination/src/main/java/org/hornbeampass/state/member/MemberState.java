package org.hornbeampass.state.member;

/**
 * State of a VM as known to another VM.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum MemberState {
    /** It replies to probes, of this VM or of others. */
    LIVE(true),
    /** It did not reply to a probe and has not yet refuted the suspicion that it is gone. */
    SUSPECT(true),
    /** It or the platform's list announced its shutdown; it accepts no new requests. */
    LEAVING(false),
    /** It did not reply for the whole suspicion timeout; it may still return. */
    GONE(false);

    private final boolean mTakesRequests;

    MemberState(boolean takesRequests) {
        mTakesRequests = takesRequests;
    }

    /** Returns whether new requests may be sent to a VM in this state. */
    public boolean takesRequests() {
        return mTakesRequests;
    }
}
