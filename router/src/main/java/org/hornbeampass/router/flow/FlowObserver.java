package org.hornbeampass.router.flow;

import org.hornbeampass.state.ErrorKind;

import java.util.Optional;

/**
 * Receives the milestones of one request, for metrics and logs.
 *
 * <p>Implementations are thread-safe.
 */
public interface FlowObserver {
    /** Called when the caller was sent the first part of the answer. */
    void onFirstPart(long nowMs);

    /** Called when the caller was sent a further part of the answer. */
    void onPart(long nowMs);

    /**
     * Called when the handling of an event of the request threw an exception, which is a fault of
     * the router itself.
     */
    void onInternalFault(RuntimeException fault);

    /**
     * Called exactly once, when the request has ended and its flow has nothing left to do.
     *
     * @param nowMs the present time in milliseconds
     * @param error the kind of failure; empty if the request was answered completely
     * @param bill the amount billed
     * @param charge the charge of the bill; empty if no bill was submitted
     */
    void onEnd(long nowMs, Optional<ErrorKind> error, BillAmount bill, Optional<Charge> charge);
}
