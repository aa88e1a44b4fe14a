package org.hornbeampass.state.requests;

/**
 * What came of a bill that is durably decided.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BillOutcome {
    /** The bill is the first of its request and stands: the budget is charged. */
    BILLED,
    /** The request was billed less before: its bill is raised to this attempt's amount. */
    RAISED,
    /** The request was billed as much or more before: this attempt's draw is refunded. */
    DUPLICATE
}
