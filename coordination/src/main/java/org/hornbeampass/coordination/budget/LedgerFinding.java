package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;

/**
 * A violated invariant that an audit of the platform's record found.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the budget
 * @param check the violated invariant
 * @param detail the numbers that violate it, as text
 */
public record LedgerFinding(BudgetKey key, LedgerCheck check, String detail) {}
