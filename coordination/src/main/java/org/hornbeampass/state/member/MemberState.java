package org.hornbeampass.state.member;

/**
 * What one VM believes of another.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum MemberState {
    /** It answers probes, or others say so. */
    LIVE(true),
    /** It missed a probe and has not yet refuted that it is gone. */
    SUSPECT(true),
    /** It said, or the platform's list said, that it shuts down; it takes no new requests. */
    LEAVING(false),
    /** It was silent for the whole suspicion timeout; it may still come back. */
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
