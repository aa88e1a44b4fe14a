package org.hornbeampass.state;

import java.util.Objects;

/**
 * Identifies a budget by its organisation and its name.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that paid for the budget
 * @param budget the budget within the organisation
 */
public record BudgetKey(OrganisationId organisation, BudgetId budget) {
    /** Checks that no part is missing. */
    public BudgetKey {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(budget, "budget");
    }

    @Override
    public String toString() {
        return organisation + "/" + budget;
    }
}
