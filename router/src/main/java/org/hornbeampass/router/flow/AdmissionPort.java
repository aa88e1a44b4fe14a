package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The queue that one request passes before it may go to an upstream, as its flow sees it.
 *
 * <p>Replies may come on any thread, also before the method returns.
 */
public interface AdmissionPort {
    /**
     * Enters the queue.
     *
     * @param nowMs the present time in milliseconds
     * @param onReply told the time, and the failure where the request is shed
     */
    void enter(long nowMs, BiConsumer<Long, Optional<Failure>> onReply);

    /** Gives the turn back, or leaves the queue. Called once for each {@link #enter}. */
    void leave(long nowMs);
}
