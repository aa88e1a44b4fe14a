package org.hornbeampass.protocol.admin;

/**
 * A top-up of a budget; applied once for each id, however often it is sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id names the top-up within its budget
 * @param tokens what to add, at least one
 */
public record TopUpBody(String id, long tokens) {}
