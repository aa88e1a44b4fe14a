package org.hornbeampass.transport.peer;

/**
 * Decides how long to wait before the next attempt to connect.
 *
 * <p>Invariant: the delay doubles with each failure up to its bound, and is spread over its upper
 * half, so that routers that lost the same peer don't come back at the same time. Immutable; safe
 * for use by any thread.
 *
 * @param minMs the delay after the first failure, in milliseconds
 * @param maxMs the largest delay, in milliseconds
 */
record Backoff(long minMs, long maxMs) {
    private static final int MAX_SHIFT = 20;

    /**
     * Returns the delay in milliseconds.
     *
     * @param failures how many attempts have failed in a row, from 1
     * @param random a random number from 0 to 1
     */
    long delayMs(int failures, double random) {
        int shift = Math.max(0, Math.min(MAX_SHIFT, failures - 1));
        long full = Math.min(maxMs, minMs << shift);
        long half = full / 2;
        return half + (long) ((full - half) * random);
    }
}
