package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.OrganisationTerms;
import org.hornbeampass.state.config.Parameters;

import java.util.List;
import java.util.Optional;

/**
 * An organisation as operators see it; carries no key and no hash of one.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the organisation
 * @param revision the configuration revision of its last change
 * @param template the name of its template
 * @param overrides its own values
 * @param terms the terms in force, from its own values, its template's and the defaults
 * @param budgets its budgets in the order of their names
 * @param keys the names of its callers' keys in their order
 */
public record OrganisationView(
        OrganisationId id,
        long revision,
        String template,
        Parameters overrides,
        Optional<OrganisationTerms> terms,
        List<BudgetId> budgets,
        List<String> keys) {
    /** Copies the lists. */
    public OrganisationView {
        budgets = List.copyOf(budgets);
        keys = List.copyOf(keys);
    }
}
