package org.hornbeampass.state.config;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The configuration of an organisation as operators set it.
 *
 * <p>Invariant: the values of the template are not copied, so a change of the template applies to
 * each organisation that does not override them. Immutable; safe for use by any thread.
 *
 * @param id the organisation
 * @param template the name of its template
 * @param overrides the values that override those of the template
 * @param budgets its budgets; the first by name is the default budget
 * @param keyHashes SHA-256 hashes of its callers' keys in lower-case hex, by the name of the key
 */
public record OrganisationSpec(
        OrganisationId id,
        String template,
        Parameters overrides,
        Set<BudgetId> budgets,
        Map<String, String> keyHashes) {
    /** Copies the collections. */
    public OrganisationSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(template, "template");
        Objects.requireNonNull(overrides, "overrides");
        budgets = Set.copyOf(budgets);
        keyHashes = Map.copyOf(keyHashes);
    }

    /** Returns the budget that is used for requests that name none; empty if there is no budget. */
    public Optional<BudgetId> defaultBudget() {
        return budgets.stream().sorted().findFirst();
    }
}
