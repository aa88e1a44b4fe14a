package org.hornbeampass.router.upstream;

/**
 * The timeouts and size limits of attempts at upstreams.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param connectTimeoutMs how long opening a connection may take at most, in milliseconds
 * @param idleTimeoutMs the longest pause within an answer, in milliseconds
 * @param maxEventBytes the maximum size of an event of a streamed answer, in bytes
 * @param maxAnswerBytes the maximum size of a whole answer, in bytes
 */
public record UpstreamSettings(
        long connectTimeoutMs, long idleTimeoutMs, int maxEventBytes, int maxAnswerBytes) {
    /** Returns settings that suit model engines with short round trips. */
    public static UpstreamSettings defaults() {
        return new UpstreamSettings(1_000, 60_000, 1 << 20, 16 << 20);
    }
}
