package org.hornbeampass.protocol.admin;

/**
 * A top-up or a lowering of a budget; applied once for each id, however often it is sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id names the change within its budget
 * @param tokens by how much, at least one
 */
public record BudgetChange(String id, long tokens) {}
