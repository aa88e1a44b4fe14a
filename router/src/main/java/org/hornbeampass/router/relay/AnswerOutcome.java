package org.hornbeampass.router.relay;

/**
 * How an upstream handled a request, as read from the head of its answer.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum AnswerOutcome {
    /** The upstream ran the request without failing. */
    SUCCEEDED,
    /** The upstream ran the request and failed. */
    FAILED,
    /** The upstream had no free capacity and did not run the request. */
    NOT_RUN,
    /** A different upstream now listens at the address; it did not run the request. */
    WRONG_UPSTREAM,
    /**
     * The answer claims success but lacks the headers that prove its origin; it is not passed on.
     */
    UNVERIFIED,
    /** The answer belongs to another request. */
    UNRELATED
}
