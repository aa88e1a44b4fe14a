package org.hornbeampass.router.flow;

/**
 * What came of a bill.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BillResult {
    /** It is durable and the first of its request. */
    FIRST,
    /** An earlier bill of the same request was smaller and is raised to this one's amount. */
    RAISED,
    /**
     * An earlier bill of the same request is as large or larger; this one's draw is to be refunded.
     */
    DUPLICATE,
    /** It is kept in memory and will become durable once the platform is back. */
    QUEUED
}
