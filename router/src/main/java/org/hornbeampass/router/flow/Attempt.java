package org.hornbeampass.router.flow;

import org.hornbeampass.state.UpstreamId;

/**
 * One try of a request at one upstream, under its own number.
 *
 * <p>Implementations are thread-safe.
 */
public interface Attempt {
    /** Returns the upstream that is tried. */
    UpstreamId upstream();

    /** Stops the work at the upstream; nothing more is heard of the attempt. */
    void cancel(long nowMs);

    /** Stops reading until {@link #resume}. */
    void pause();

    /** Goes on reading. */
    void resume();
}
