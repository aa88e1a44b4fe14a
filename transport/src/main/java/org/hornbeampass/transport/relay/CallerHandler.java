package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Receives the requests of all callers.
 *
 * <p>Called on the connection's event loop only.
 */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Starts to process a request whose head has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param caller the connection; the handler writes exactly one answer to it or aborts it
     * @param head the head
     * @return the listener for the request's body and the state of the caller's connection
     */
    CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head);
}
