package org.hornbeampass.state.config;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * An organisation as operators set it: its template, its own values, its budgets and keys.
 *
 * <p>Invariant: the template's values are not copied here, so that a change of the template reaches
 * each organisation that did not override them. Immutable; safe for use by any thread.
 *
 * @param id the organisation
 * @param template the name of its template
 * @param overrides its own values
 * @param budgets its budgets; the first in order of names is drawn on where a request names none
 * @param keyHashes names of its callers' keys with the SHA-256 of each, in lower-case hex
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

    /** Returns the budget that is drawn on where a request names none. */
    public Optional<BudgetId> defaultBudget() {
        return budgets.stream().sorted().findFirst();
    }
}
