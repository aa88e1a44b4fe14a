package org.hornbeampass.state;

import java.util.Objects;

/**
 * Names one budget of one organisation.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that paid
 * @param budget the budget within it
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
