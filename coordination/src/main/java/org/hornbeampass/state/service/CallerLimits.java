package org.hornbeampass.state.service;

/**
 * What callers may send, and how long they may take.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param maxHeadBytes the largest request line with headers
 * @param maxBodyBytes the largest body
 * @param headTimeoutMs how long a head may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may be without a request, in milliseconds
 */
public record CallerLimits(
        int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
    /** Bounds until a configuration is known: those of common HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);
}
