package org.hornbeampass.coordination.ratelimit;

import java.util.Optional;

/**
 * Receives the result of a request for a permit.
 *
 * <p>Called on the limiter's thread, exactly once.
 */
@FunctionalInterface
public interface PermitListener {
    /**
     * Called with the result.
     *
     * @param nowMs the present time in milliseconds
     * @param permit the permit; empty if no request may be sent to the upstream at present
     */
    void onAnswer(long nowMs, Optional<SendPermit> permit);
}
