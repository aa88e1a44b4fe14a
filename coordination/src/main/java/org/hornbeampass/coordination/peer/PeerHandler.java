package org.hornbeampass.coordination.peer;

import org.hornbeampass.state.VmId;

import java.util.function.Consumer;

/**
 * Handles messages of one type from other routers.
 *
 * <p>Implementations are thread-safe and never block.
 *
 * @param <M> the type of message that is handled
 */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {
    /**
     * Handles one message.
     *
     * @param nowMs the current time in milliseconds
     * @param from the sender, as authenticated by the transport
     * @param message the message
     * @param reply takes the reply, at most once, now or later; ignored for one-way messages
     */
    void handle(long nowMs, VmId from, M message, Consumer<PeerMessage> reply);
}
