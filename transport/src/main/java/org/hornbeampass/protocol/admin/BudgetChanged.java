package org.hornbeampass.protocol.admin;

/**
 * The answer to a change of a budget.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the change's id
 * @param tokens by how much the budget changed; less than asked where a lowering met what is held
 * @param repeated whether the change had been applied before, so that nothing changed now
 * @param account the account afterwards
 */
public record BudgetChanged(String id, long tokens, boolean repeated, BudgetView account) {}
