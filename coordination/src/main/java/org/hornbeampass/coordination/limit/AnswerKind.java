package org.hornbeampass.coordination.limit;

/**
 * How an answer arrives and whether its request may be repeated, which determine the timeout of its
 * first part.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum AnswerKind {
    /** A stream of tokens: the first part is expected soon, and the others at short intervals. */
    STREAM {
        @Override
        double firstPartTimeoutMs(double expectedMs) {
            return expectedMs;
        }
    },
    /** An answer in one part that arrives once it is complete; the request may be repeated. */
    SINGLE_PART {
        @Override
        double firstPartTimeoutMs(double expectedMs) {
            return (double) AttemptTimeouts.MAX_STALL_MS;
        }
    },
    /** An answer to a call that may not be repeated, so that giving up early would be useless. */
    NOT_REPEATABLE {
        @Override
        double firstPartTimeoutMs(double expectedMs) {
            return Double.MAX_VALUE;
        }
    };

    /**
     * Returns the timeout of the first part in milliseconds, before it is bounded by the deadline.
     */
    abstract double firstPartTimeoutMs(double expectedMs);
}
