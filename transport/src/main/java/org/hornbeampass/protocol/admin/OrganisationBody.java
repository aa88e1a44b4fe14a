package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.config.Parameters;

import java.util.Optional;
import java.util.Set;

/**
 * What an operator sets of an organisation; its keys are kept as they are.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param template the name of its template
 * @param overrides its own values; none where absent
 * @param budgets its budgets
 */
public record OrganisationBody(
        String template, Optional<Parameters> overrides, Set<BudgetId> budgets) {
    /** Takes what is absent as empty. */
    public OrganisationBody {
        budgets = budgets == null ? Set.of() : Set.copyOf(budgets);
    }
}
