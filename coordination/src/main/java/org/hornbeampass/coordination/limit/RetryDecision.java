package org.hornbeampass.coordination.limit;

import org.hornbeampass.state.Failure;

/**
 * The next step after a failed attempt.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface RetryDecision {
    /**
     * Sends the request to another upstream; no part of an answer was sent to the caller.
     *
     * @param delayMs how long to wait first, in milliseconds
     */
    record RetryElsewhere(long delayMs) implements RetryDecision {}

    /**
     * Asks the same upstream to resume the stream.
     *
     * @param offset the offset of the first token not delivered to the caller
     */
    record Resume(long offset) implements RetryDecision {}

    /**
     * Answers the caller with a failure.
     *
     * @param failure the failure, whose kind says whether the request ran
     */
    record GiveUp(Failure failure) implements RetryDecision {}
}
