package org.hornbeampass.state.service;

/**
 * Limits on the size and duration of what callers send.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param maxHeadBytes the maximum size of the request line and headers
 * @param maxBodyBytes the maximum size of the request body
 * @param headTimeoutMs how long the request line and headers may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
    /**
     * Limits that apply until a configuration is known; similar to those of common HTTP servers.
     */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);
}
