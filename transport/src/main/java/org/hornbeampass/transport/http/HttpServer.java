package org.hornbeampass.transport.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * A listening HTTP/1.1 server with bounded heads and bodies.
 *
 * <p>Thread-safe.
 */
public interface HttpServer {
    /** Returns the address that is listened on, with the real port where 0 was asked for. */
    InetSocketAddress address();

    /** Returns the number of requests that have arrived and are not answered to the end. */
    int inFlight();

    /** Closes the listening socket; open connections go on, each closed after its next answer. */
    void stopAccepting();

    /**
     * Closes the listening socket and all connections; the future is completed once the address
     * refuses connections.
     */
    CompletableFuture<Void> close();
}
