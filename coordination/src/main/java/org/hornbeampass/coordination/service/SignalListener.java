package org.hornbeampass.coordination.service;

import java.util.OptionalDouble;

/**
 * Hears what upstreams say of themselves in their answers, to this or another VM.
 *
 * <p>Called on the thread to which the exchange is confined.
 */
public interface SignalListener {
    /**
     * An upstream gets no new requests from here on.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the incarnation that leaves
     * @param source the VM that told it; empty where an answer to this VM did
     */
    void onLeaving(long nowMs, UpstreamIncarnation upstream, String source);

    /**
     * An upstream's rate limit has changed.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the incarnation
     * @param perSecond requests a second from the whole fleet; empty where it names none any more
     * @param source the VM that told it; empty where an answer to this VM did
     */
    void onRateLimit(
            long nowMs, UpstreamIncarnation upstream, OptionalDouble perSecond, String source);
}
