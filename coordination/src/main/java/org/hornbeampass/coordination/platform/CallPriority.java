package org.hornbeampass.coordination.platform;

/**
 * How urgent a platform call is, and how much of the rate limit it must leave to more urgent ones.
 *
 * <p>Declared from the most to the least urgent. Immutable; safe for use by any thread.
 */
public enum CallPriority {
    /** A caller waits for it, such as a claim or a grant for an empty budget. */
    URGENT(0.0),
    /** It must be done soon, such as a bill or a change of configuration. */
    NORMAL(0.1),
    /** It can wait, such as a checkpoint, a truncation or an audit. */
    BACKGROUND(0.3);

    private final double mReservedShare;

    CallPriority(double reservedShare) {
        mReservedShare = reservedShare;
    }

    /** Returns the share of the burst, from 0 to 1, that calls of this priority must not use. */
    public double reservedShare() {
        return mReservedShare;
    }
}
