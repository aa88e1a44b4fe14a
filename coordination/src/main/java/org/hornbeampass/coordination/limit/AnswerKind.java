package org.hornbeampass.coordination.limit;

/**
 * How an answer comes and whether its request may run again, on which the patience depends.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum AnswerKind {
    /** A stream of tokens: its first part is expected soon, and the others at short intervals. */
    STREAM {
        @Override
        double firstPartTimeoutMs(double expectedFirstMs) {
            return expectedFirstMs;
        }
    },
    /** One part that comes when all of it is made; the request may run again. */
    SINGLE_PART {
        @Override
        double firstPartTimeoutMs(double expectedFirstMs) {
            return (double) AttemptTimeouts.MAX_STALL_MS;
        }
    },
    /** An answer to a call that may not be repeated: giving up early would gain nothing. */
    NOT_REPEATABLE {
        @Override
        double firstPartTimeoutMs(double expectedFirstMs) {
            return Double.MAX_VALUE;
        }
    };

    /** Returns how long the first part may take, before bounds, in milliseconds. */
    abstract double firstPartTimeoutMs(double expectedFirstMs);
}
