package org.hornbeampass.router.flow;

/**
 * The decision whether and when a request is retried after a failed attempt.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface Retry {
    /**
     * Start another attempt.
     *
     * @param afterMs the delay before the attempt, in milliseconds
     */
    record Again(long afterMs) implements Retry {}

    /** Fail the request without another attempt. */
    record GiveUp() implements Retry {}
}
