package org.hornbeampass.coordination.service;

/**
 * Receives the end of an upstream's incarnation at which a request is in progress.
 *
 * <p>Called at most once, on the thread of the {@link UpstreamRegistry}.
 */
@FunctionalInterface
public interface IncarnationListener {
    /**
     * Called when the incarnation has ended; requests sent to it will not be answered.
     *
     * @param nowMs the present time in milliseconds
     */
    void onEnded(long nowMs);
}
