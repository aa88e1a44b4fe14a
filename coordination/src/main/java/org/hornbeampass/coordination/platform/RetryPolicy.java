package org.hornbeampass.coordination.platform;

import java.util.SplittableRandom;

/**
 * The number of attempts of a call and the waits between them: exponential backoff with full
 * jitter.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param firstWaitMs the longest wait before the first retry, in milliseconds
 * @param maxWaitMs the longest wait before any retry, in milliseconds
 * @param maxAttempts the total number of attempts
 */
public record RetryPolicy(long firstWaitMs, long maxWaitMs, int maxAttempts) {
    private static final int MAX_SHIFT = 30;

    /** Checks that the waits and the number of attempts are positive. */
    public RetryPolicy {
        if (firstWaitMs <= 0 || maxWaitMs < firstWaitMs || maxAttempts <= 0) {
            throw new IllegalArgumentException("retry waits and attempts must be positive");
        }
    }

    /** Returns the default policy. */
    public static RetryPolicy standard() {
        return new RetryPolicy(20, 2_000, 12);
    }

    /** Returns a random wait in milliseconds, at least 1, after a number of failed attempts. */
    public long waitMs(int failedAttempts, SplittableRandom random) {
        long longest = firstWaitMs << Math.min(MAX_SHIFT, Math.max(0, failedAttempts - 1));
        return 1 + random.nextLong(Math.min(longest, maxWaitMs));
    }
}
