package org.hornbeampass.router.flow;

/**
 * Whether and when a failed request is tried again.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface Retry {
    /**
     * Try again.
     *
     * @param afterMs how long to wait first, in milliseconds
     */
    record Again(long afterMs) implements Retry {}

    /** Give up at once. */
    record GiveUp() implements Retry {}
}
