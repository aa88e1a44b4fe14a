package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetId;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's record of all budgets of one organisation, kept in one object.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param budgets budgets by id
 */
public record LedgerRecord(Map<BudgetId, BudgetRecord> budgets) {
    /** Copies the map. */
    public LedgerRecord {
        budgets = Collections.unmodifiableMap(new TreeMap<>(budgets));
    }

    /** Returns a record without budgets. */
    public static LedgerRecord empty() {
        return new LedgerRecord(Map.of());
    }

    /** Returns a budget's record, empty where nothing was ever paid. */
    public BudgetRecord budget(BudgetId id) {
        return budgets.getOrDefault(id, BudgetRecord.empty());
    }

    /** Returns the record with one budget replaced. */
    public LedgerRecord with(BudgetId id, BudgetRecord budget) {
        Map<BudgetId, BudgetRecord> changed = new TreeMap<>(budgets);
        changed.put(id, budget);
        return new LedgerRecord(changed);
    }
}
