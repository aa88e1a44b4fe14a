package org.hornbeampass.coordination.service;

/**
 * Hears of upstreams that leave, apart from what their entries say.
 *
 * <p>Called on the thread to which the exchange is confined.
 */
@FunctionalInterface
public interface LeavingListener {
    /**
     * An upstream gets no new requests from here on.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the incarnation that leaves
     * @param toldBy the VM that told it; empty where an answer to this VM did
     */
    void onLeaving(long nowMs, UpstreamIncarnation upstream, String toldBy);
}
