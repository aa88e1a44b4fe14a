package org.hornbeampass.coordination.service;

/**
 * Tells which upstreams take no more requests for now, since the fleet has used up their rate.
 *
 * <p>Confined to the board's thread.
 */
@FunctionalInterface
public interface SendGate {
    /** Never closed: for upstreams without rate limits. */
    SendGate OPEN = (nowMs, upstream) -> 0;

    /**
     * Returns when an upstream may take a request again, in milliseconds from now on; 0 where it
     * may now.
     */
    long waitMs(long nowMs, UpstreamIncarnation upstream);
}
