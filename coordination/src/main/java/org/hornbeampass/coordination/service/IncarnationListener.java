package org.hornbeampass.coordination.service;

/**
 * Hears that the incarnation of an upstream at which a request is in progress has ended.
 *
 * <p>Called on the board's thread, once at most.
 */
@FunctionalInterface
public interface IncarnationListener {
    /**
     * Takes the end of the incarnation: nothing that was sent there will be answered.
     *
     * @param nowMs the present time in milliseconds
     */
    void onEnded(long nowMs);
}
