package org.hornbeampass.cli.client;

/**
 * A successful answer of the operators' API.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param value what was answered
 * @param ageSeconds how old the answer is, in whole seconds; 0 where it is fresh
 * @param server the server that answered
 * @param repeated whether the call was sent before and its answer was lost
 * @param <T> the type of the value
 */
public record AdminAnswer<T>(T value, long ageSeconds, String server, boolean repeated) {}
