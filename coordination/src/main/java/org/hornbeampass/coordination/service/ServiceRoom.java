package org.hornbeampass.coordination.service;

/**
 * How much a service can run at once, and how much of it is used.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param slots how many requests the usable upstreams of the service run concurrently
 * @param inFlight the requests in progress there, of this VM and of all others as last reported
 */
public record ServiceRoom(int slots, int inFlight) {}
