package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Gives one request's flow access to the budget that the request is paid from.
 *
 * <p>Exactly one of {@link #settle} and {@link #cancel} follows a successful reservation. The reply
 * callback may be invoked on any thread, possibly before the method returns.
 */
public interface BudgetPort {
    /**
     * Reserves tokens for the request.
     *
     * @param nowMs the present time in milliseconds
     * @param tokens the largest number of tokens that the request can use
     * @param onReply called with the time and, if nothing was reserved, the failure
     */
    void reserve(long nowMs, long tokens, BiConsumer<Long, Optional<Failure>> onReply);

    /** Spends tokens of the reservation, at most as many as were reserved, and frees the rest. */
    void settle(long nowMs, long tokens);

    /** Frees the whole reservation. */
    void cancel(long nowMs);
}
