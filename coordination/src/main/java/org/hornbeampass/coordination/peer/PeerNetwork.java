package org.hornbeampass.coordination.peer;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/**
 * Sends typed messages to other routers, addressed by VM name.
 *
 * <p>Messages may be lost, delayed or reordered. A request that ended with a failure may still have
 * been carried out. Implementations are thread-safe.
 */
public interface PeerNetwork {
    /**
     * Sends a message that has no reply; it is dropped if the peer is unreachable.
     *
     * @param vmName the receiver's VM name
     * @param message the message
     */
    void send(String vmName, PeerMessage message);

    /**
     * Sends a request.
     *
     * @param nowMs the current time in milliseconds
     * @param vmName the receiver's VM name
     * @param request the request
     * @param timeoutMs how long to wait for the reply, in milliseconds
     * @param done called exactly once, on any thread, with the time in milliseconds and the reply
     */
    void request(
            long nowMs,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done);
}
