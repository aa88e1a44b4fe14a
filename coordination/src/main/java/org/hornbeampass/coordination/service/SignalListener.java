package org.hornbeampass.coordination.service;

import java.util.OptionalDouble;

/**
 * Receives changes of the signals that upstreams send in answers to this or another VM.
 *
 * <p>Called on the thread to which the exchange is confined.
 */
public interface SignalListener {
    /**
     * Called when an upstream is leaving and gets no new requests any more.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the incarnation that is leaving
     * @param source the VM that reported it; empty where an answer to this VM stated it
     */
    void onLeaving(long nowMs, UpstreamIncarnation upstream, String source);

    /**
     * Called when an upstream's rate limit has changed.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the incarnation
     * @param perSecond requests a second from the whole fleet; empty where there is no limit any
     *     more
     * @param source the VM that reported it; empty where an answer to this VM stated it
     */
    void onRateLimit(
            long nowMs, UpstreamIncarnation upstream, OptionalDouble perSecond, String source);
}
