package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetId;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's record of all budgets of one organisation, stored as one object.
 *
 * <p>Immutable and thread-safe.
 *
 * @param budgets the budgets by id
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

    /** Returns a budget's record; an empty one if no tokens were ever paid for it. */
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
