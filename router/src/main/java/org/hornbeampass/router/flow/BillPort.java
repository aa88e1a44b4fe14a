package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The bill of one request, as its flow sees it.
 *
 * <p>Replies may come on any thread, also before the method returns.
 */
public interface BillPort {
    /** Returns why a new request can't be billed at present, if so. */
    Optional<Failure> refusal(long nowMs);

    /**
     * Bills, and waits for the bill to be durable within a bound.
     *
     * <p>Where the bound passes first the reply is {@link BillResult#QUEUED}; should the bill turn
     * out to be a duplicate or to raise another one later, the port itself refunds what was settled
     * beyond its charge.
     *
     * @param nowMs the present time in milliseconds
     * @param bill what to bill
     * @param onReply told exactly once the time, what came of it and what to settle, at the bound
     *     at the latest
     */
    void bill(long nowMs, BillAmount bill, BiConsumer<Long, Charge> onReply);
}
