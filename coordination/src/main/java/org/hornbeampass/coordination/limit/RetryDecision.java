package org.hornbeampass.coordination.limit;

import org.hornbeampass.state.Failure;

/**
 * What to do after a failed attempt.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface RetryDecision {
    /**
     * Send the request to another upstream; nothing of an answer has gone to the caller.
     *
     * @param delayMs how long to wait first, in milliseconds
     */
    record RetryElsewhere(long delayMs) implements RetryDecision {}

    /**
     * Ask the same upstream to resume the stream.
     *
     * @param offset the first token that the caller lacks
     */
    record Resume(long offset) implements RetryDecision {}

    /**
     * Answer with a failure.
     *
     * @param failure the failure, whose kind says whether the request ran
     */
    record GiveUp(Failure failure) implements RetryDecision {}
}
