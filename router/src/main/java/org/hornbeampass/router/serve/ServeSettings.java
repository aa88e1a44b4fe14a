package org.hornbeampass.router.serve;

/**
 * Settings that limit how long, and how many, requests wait inside the router.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param grantWaitMs how long a request waits for tokens if its VM holds too few, in milliseconds
 * @param billWaitMs how long the last part of an answer waits for its bill to be durable, in
 *     milliseconds
 * @param maxWaiting the largest number of requests that may wait for one model or service
 */
public record ServeSettings(long grantWaitMs, long billWaitMs, int maxWaiting) {
    /** Returns the default settings, for which performance figures are published. */
    public static ServeSettings defaults() {
        return new ServeSettings(2_000, 2_000, 1_000);
    }
}
