package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The budget of one request, as its flow sees it.
 *
 * <p>Exactly one of {@link #settle} and {@link #cancel} follows a successful reservation. Replies
 * may come on any thread, also before the method returns.
 */
public interface BudgetPort {
    /**
     * Reserves tokens.
     *
     * @param nowMs the present time in milliseconds
     * @param tokens the worst case
     * @param onReply told the time, and the failure where nothing was reserved
     */
    void reserve(long nowMs, long tokens, BiConsumer<Long, Optional<Failure>> onReply);

    /** Turns the reservation into spend of at most what was reserved, and frees the rest. */
    void settle(long nowMs, long tokens);

    /** Frees the whole reservation. */
    void cancel(long nowMs);
}
