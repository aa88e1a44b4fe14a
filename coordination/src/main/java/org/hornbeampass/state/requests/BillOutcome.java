package org.hornbeampass.state.requests;

/**
 * What came of a bill that is durably decided.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BillOutcome {
    /** The bill stands: the budget is charged. */
    BILLED,
    /** Another attempt of the same request is charged: this attempt's draw is refunded. */
    DUPLICATE
}
