package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.coordination.buffer.BufferLimit;

import java.util.Optional;

/**
 * Observes how requests come in at a {@link CallerServer}, and decides which connections are closed
 * after an answer.
 *
 * <p>Called on the server's event loop only. All times are in milliseconds.
 */
public interface IntakeListener {
    /** Observes nothing and closes no connection. */
    IntakeListener NONE =
            new IntakeListener() {
                @Override
                public void onHandover(long nowMs, long readMs, int waiting) {}

                @Override
                public void onUnread(long nowMs, UnreadRequest unread) {}

                @Override
                public boolean closesAfterAnswer(long nowMs, int connections) {
                    return false;
                }
            };

    /**
     * A request is handed over whose head was read at a time, while a number of others wait for it.
     */
    void onHandover(long nowMs, long readMs, int waiting);

    /** A caller closed its connection before its request was handed over. */
    void onUnread(long nowMs, UnreadRequest unread);

    /**
     * Returns whether a connection is closed after the answer that begins now. Asked once for each
     * answer after which the connection would stay open.
     *
     * @param connections the number of open connections
     */
    boolean closesAfterAnswer(long nowMs, int connections);

    /** Returns the bound on what is held for slow callers; empty if there is none. */
    default Optional<BufferLimit> bufferLimit() {
        return Optional.empty();
    }

    /**
     * A caller's connection is closed, since it read too slowly while the VM held too much.
     *
     * @param nowMs the present time in milliseconds
     * @param head the head of its last request, if any
     * @param heldBytes the bytes that were held for it
     * @param stalledMs for how long it had taken nothing, in milliseconds
     */
    default void onClosedSlow(
            long nowMs, Optional<HttpRequest> head, long heldBytes, long stalledMs) {}
}
