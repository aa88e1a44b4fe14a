package org.hornbeampass.coordination.orders;

/**
 * The result of sending an order to an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum OrderResult {
    /** The upstream accepted the order and is changing to the ordered state. */
    ACCEPTED,
    /** The upstream refused the order because it has seen a greater fencing number. */
    OLD_FENCING,
    /** No usable answer was received; the order may have taken effect. */
    UNKNOWN
}
