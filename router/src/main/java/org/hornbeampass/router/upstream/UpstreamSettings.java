package org.hornbeampass.router.upstream;

/**
 * The times and bounds of attempts at upstreams.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param connectTimeoutMs how long a connection may take at most, in milliseconds
 * @param idleTimeoutMs how long an answer may pause at most, in milliseconds
 * @param maxEventBytes the largest event of a streamed answer, in bytes
 * @param maxAnswerBytes the largest whole answer, in bytes
 */
public record UpstreamSettings(
        long connectTimeoutMs, long idleTimeoutMs, int maxEventBytes, int maxAnswerBytes) {
    /** Returns times and bounds that suit model engines nearby. */
    public static UpstreamSettings defaults() {
        return new UpstreamSettings(1_000, 60_000, 1 << 20, 16 << 20);
    }
}
