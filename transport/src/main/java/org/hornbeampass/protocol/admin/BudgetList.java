package org.hornbeampass.protocol.admin;

import java.util.List;

/**
 * The accounts of all budgets of one organisation.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the budgets in the order of their names
 */
public record BudgetList(List<BudgetView> items) {
    /** Copies the list. */
    public BudgetList {
        items = List.copyOf(items);
    }
}
