package org.hornbeampass.transport.http;

/**
 * Handles requests whose head and body have arrived whole and within bounds.
 *
 * <p>Run on an event loop: implementations never block. Thread-safe.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles one request; the exchange is answered exactly once, now or later.
     *
     * @param nowMs the present time in milliseconds
     * @param exchange the request and the means to answer it
     */
    void handle(long nowMs, HttpExchange exchange);
}
