package org.hornbeampass.state.requests;

/**
 * The outcome of a bill that is durably decided.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BillOutcome {
    /** The bill is the first one of its request and is charged to the budget. */
    BILLED,
    /**
     * The request was billed with a smaller amount before; its bill is raised to that of this
     * attempt.
     */
    RAISED,
    /**
     * The request was billed with the same or a larger amount before; the tokens that this attempt
     * drew are refunded.
     */
    DUPLICATE
}
