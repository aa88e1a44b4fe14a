package org.hornbeampass.transport.peer;

/**
 * Computes the delay before the next attempt to connect.
 *
 * <p>Exponential backoff with jitter: the delay doubles with each failure up to its maximum, and is
 * then chosen from the upper half of that value, so that routers that lost the same peer don't all
 * reconnect at the same time. Immutable; safe for use by any thread.
 *
 * @param minMs the delay after the first failure, in milliseconds
 * @param maxMs the maximum delay, in milliseconds
 */
record Backoff(long minMs, long maxMs) {
    private static final int MAX_SHIFT = 20;

    /**
     * Returns the delay in milliseconds.
     *
     * @param failures the number of consecutive failed attempts, at least 1
     * @param random a random number from 0 to 1, which chooses the delay within the upper half
     */
    long delayMs(int failures, double random) {
        int shift = Math.max(0, Math.min(MAX_SHIFT, failures - 1));
        long full = Math.min(maxMs, minMs << shift);
        long half = full / 2;
        return half + (long) ((full - half) * random);
    }
}
