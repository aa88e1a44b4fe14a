package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Gives one request's flow access to the admission queue that the request must pass before it may
 * be sent to an upstream.
 *
 * <p>The reply callback may be invoked on any thread, possibly before the method returns.
 */
public interface AdmissionPort {
    /**
     * Adds the request to the queue.
     *
     * @param nowMs the present time in milliseconds
     * @param onReply called with the time and, if the request is shed, the failure; an empty value
     *     means that the request is admitted
     */
    void enter(long nowMs, BiConsumer<Long, Optional<Failure>> onReply);

    /**
     * Releases the place of an admitted request, or removes a waiting request from the queue.
     * Called once for each {@link #enter}.
     */
    void leave(long nowMs);
}
