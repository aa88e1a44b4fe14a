package org.hornbeampass.standin.platform;

/** The kinds of fault of the platform stand-in; the amount's unit stands with each. */
public enum PlatformFault {
    /** The call is refused at once, without effect; the amount is not used. */
    REFUSE,
    /** No reply ever comes, and there is no effect; the amount is not used. */
    SILENT,
    /** The call takes effect and is answered later by the amount, in milliseconds. */
    SLOW,
    /** A write takes effect, and its reply is lost; the amount is not used. */
    LOSE_REPLY,
    /**
     * A write's connection breaks at once; it takes effect later by the amount, in milliseconds.
     */
    LATE_EFFECT,
    /** The call is refused as beyond the rate limit, without effect; the amount is not used. */
    THROTTLE
}
