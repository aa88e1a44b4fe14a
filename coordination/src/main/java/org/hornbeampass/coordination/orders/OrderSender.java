package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.UpstreamId;

import java.util.function.BiConsumer;

/**
 * Sends orders to upstreams.
 *
 * <p>Implementations are thread-safe and bound the time that each order takes: once {@code done}
 * has run, the order is no longer queued on this VM.
 */
@FunctionalInterface
public interface OrderSender {
    /**
     * Sends one order.
     *
     * @param done called exactly once, on any thread, with the time in milliseconds and the result
     */
    void send(
            long nowMs, UpstreamId upstream, StoredOrder order, BiConsumer<Long, OrderResult> done);
}
