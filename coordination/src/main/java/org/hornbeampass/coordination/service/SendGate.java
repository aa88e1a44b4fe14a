package org.hornbeampass.coordination.service;

/**
 * Decides which upstreams get no requests for now because the fleet has used up their rate limit.
 *
 * <p>Confined to the thread of the {@link UpstreamRegistry}.
 */
@FunctionalInterface
public interface SendGate {
    /** Lets every request pass, for upstreams without rate limits. */
    SendGate OPEN = (nowMs, upstream) -> 0;

    /**
     * Returns the time until an upstream may be sent a request, in milliseconds; 0 where it may be
     * sent one now.
     */
    long waitMs(long nowMs, UpstreamIncarnation upstream);
}
