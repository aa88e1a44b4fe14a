package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Takes the requests of all callers.
 *
 * <p>Called on the connection's event loop only.
 */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Takes a request whose head has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param caller the connection, on which exactly one answer is written or which is aborted
     * @param head the head
     * @return what hears of the body and of the caller
     */
    CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head);
}
