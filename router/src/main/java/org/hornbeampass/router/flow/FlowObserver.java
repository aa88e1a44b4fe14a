package org.hornbeampass.router.flow;

import org.hornbeampass.state.ErrorKind;

import java.util.Optional;

/**
 * Told of a request's milestones, for metrics, logs and the admission queue.
 *
 * <p>Implementations are thread-safe.
 */
public interface FlowObserver {
    /** The caller was sent its first part. */
    void onFirstPart(long nowMs);

    /** The caller was sent a further part. */
    void onPart(long nowMs);

    /** Handling an event of the request threw; this is a fault of the router itself. */
    void onInternalFault(RuntimeException fault);

    /**
     * The request has ended, and nothing of it is left to do. Called exactly once.
     *
     * @param nowMs the present time in milliseconds
     * @param error how it failed; empty where it was answered whole
     * @param bill what was billed
     * @param charge what came of the bill; empty where none was due
     */
    void onEnd(long nowMs, Optional<ErrorKind> error, BillAmount bill, Optional<Charge> charge);
}
