package org.hornbeampass.protocol.admin;

/**
 * The answer to an order to drain a router or an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the router's VM name or the upstream's id
 * @param state what it is doing now, such as {@code draining}
 * @param inFlight requests that it still has in progress, as far as the answering router knows
 */
public record Drained(String name, String state, long inFlight) {}
