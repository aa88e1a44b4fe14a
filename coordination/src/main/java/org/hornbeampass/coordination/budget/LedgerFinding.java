package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;

/**
 * One breach that an audit of the platform's record found.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the budget
 * @param check the invariant that is broken
 * @param detail the figures
 */
public record LedgerFinding(BudgetKey key, LedgerCheck check, String detail) {}
