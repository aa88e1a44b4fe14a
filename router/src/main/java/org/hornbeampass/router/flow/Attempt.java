package org.hornbeampass.router.flow;

import org.hornbeampass.state.UpstreamId;

/**
 * One attempt to run a request on one upstream, identified by a number within the request.
 *
 * <p>Implementations are thread-safe.
 */
public interface Attempt {
    /** Returns the upstream that the attempt was sent to. */
    UpstreamId upstream();

    /** Cancels the attempt at the upstream; its listener receives no further events of it. */
    void cancel(long nowMs);

    /** Stops reading the upstream's answer until {@link #resume} is called. */
    void pause();

    /** Continues reading the upstream's answer after {@link #pause}. */
    void resume();
}
