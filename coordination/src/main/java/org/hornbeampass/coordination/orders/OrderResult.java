package org.hornbeampass.coordination.orders;

/**
 * What came of sending an order.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum OrderResult {
    /** The upstream took it and works towards the state. */
    ACCEPTED,
    /** The upstream refused its fencing number as old. */
    OLD_FENCING,
    /** No answer tells; it may have taken effect. */
    UNKNOWN
}
