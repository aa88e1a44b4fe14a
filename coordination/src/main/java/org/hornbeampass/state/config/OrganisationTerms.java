package org.hornbeampass.state.config;

import org.hornbeampass.state.ModelId;

import java.util.Set;

/**
 * The effective terms of an organisation: its own values, else those of its template, else
 * defaults.
 *
 * <p>The components correspond to those of {@link Parameters}. Immutable; safe for use by any
 * thread.
 *
 * @param models the models that callers may request
 * @param adapters the adapters that callers may request
 * @param services the plain services that callers may call
 * @param workKinds the kinds of work that callers may send
 * @param priority load shedding priority from 0 (first to be shed) to 9 (last to be shed)
 * @param maxCompletionTokens the maximum number of completion tokens of one request
 * @param maxConcurrent the maximum number of concurrent requests over all VMs
 * @param requestsPerSecond the maximum request rate over all VMs
 * @param budgetPreference how many tokens VMs may hold ahead of demand
 */
public record OrganisationTerms(
        Set<ModelId> models,
        Set<String> adapters,
        Set<String> services,
        Set<WorkKind> workKinds,
        int priority,
        int maxCompletionTokens,
        int maxConcurrent,
        int requestsPerSecond,
        BudgetPreference budgetPreference) {
    private static final int DEFAULT_PRIORITY = 5;
    private static final int DEFAULT_MAX_COMPLETION_TOKENS = 4_096;
    private static final int DEFAULT_MAX_CONCURRENT = 10_000;
    private static final int DEFAULT_REQUESTS_PER_SECOND = 100_000;

    /** Returns the terms for the given parameters, with defaults for those that are not set. */
    public static OrganisationTerms of(Parameters parameters) {
        return new OrganisationTerms(
                parameters.models().orElse(Set.of()),
                parameters.adapters().orElse(Set.of()),
                parameters.services().orElse(Set.of()),
                parameters.workKinds().orElse(Set.of(WorkKind.CHAT)),
                parameters.priority().orElse(DEFAULT_PRIORITY),
                parameters.maxCompletionTokens().orElse(DEFAULT_MAX_COMPLETION_TOKENS),
                parameters.maxConcurrent().orElse(DEFAULT_MAX_CONCURRENT),
                parameters.requestsPerSecond().orElse(DEFAULT_REQUESTS_PER_SECOND),
                parameters.budgetPreference().orElse(BudgetPreference.AVOID_STRANDING));
    }
}
