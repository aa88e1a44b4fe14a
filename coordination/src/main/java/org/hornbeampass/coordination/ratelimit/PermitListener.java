package org.hornbeampass.coordination.ratelimit;

import java.util.Optional;

/**
 * Hears whether a request may be sent.
 *
 * <p>Called on the limiter's thread, exactly once.
 */
@FunctionalInterface
public interface PermitListener {
    /**
     * Takes the answer.
     *
     * @param nowMs the present time in milliseconds
     * @param permit the permit; empty where the upstream takes no more requests for now
     */
    void onAnswer(long nowMs, Optional<SendPermit> permit);
}
