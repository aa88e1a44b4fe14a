package org.hornbeampass.router.flow;

/**
 * The result of submitting a bill.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BillResult {
    /** The bill is durable and the first one of its request. */
    FIRST,
    /** An earlier bill of the same request was smaller and is raised to the amount of this one. */
    RAISED,
    /**
     * An earlier bill of the same request is as large or larger, so nothing is charged for this one
     * and its tokens must be refunded.
     */
    DUPLICATE,
    /** The bill is kept in memory and becomes durable once the platform is available again. */
    QUEUED
}
