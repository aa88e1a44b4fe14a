package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Gives one request's flow access to the billing of the request.
 *
 * <p>The reply callback may be invoked on any thread, possibly before the method returns.
 */
public interface BillPort {
    /** Returns why a new request can't be billed at present; empty if it can. */
    Optional<Failure> refusal(long nowMs);

    /**
     * Submits the bill and waits a limited time for it to become durable.
     *
     * <p>If the wait times out, the reply is {@link BillResult#QUEUED}. If the bill later proves to
     * be a duplicate or to raise an earlier bill, the port itself refunds the tokens that were
     * settled beyond the bill's charge.
     *
     * @param nowMs the present time in milliseconds
     * @param bill the amount to bill
     * @param onReply called exactly once, at the latest when the wait times out, with the time and
     *     the charge to settle
     */
    void bill(long nowMs, BillAmount bill, BiConsumer<Long, Charge> onReply);
}
