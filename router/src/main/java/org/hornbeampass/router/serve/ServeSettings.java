package org.hornbeampass.router.serve;

/**
 * The waits of requests inside the router.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param grantWaitMs how long a request waits for tokens where its VM holds too few, in
 *     milliseconds
 * @param billWaitMs how long an answer's last part waits for its bill to be durable, in
 *     milliseconds
 * @param maxWaiting how many requests may wait for one model or service
 */
public record ServeSettings(long grantWaitMs, long billWaitMs, int maxWaiting) {
    /** Returns the waits for which figures are published. */
    public static ServeSettings defaults() {
        return new ServeSettings(2_000, 2_000, 1_000);
    }
}
