package org.hornbeampass.coordination.platform;

/**
 * The priority of a platform call, with the share of the burst that it must leave to calls of
 * higher priority.
 *
 * <p>Declared from the most to the least urgent. Immutable; safe for use by any thread.
 */
public enum CallPriority {
    /** A caller waits for the result, such as a claim or a grant for an empty budget. */
    URGENT(0.0),
    /** Must be done soon, such as a bill or a configuration change. */
    NORMAL(0.1),
    /** May be delayed, such as a checkpoint, a truncation or an audit. */
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
