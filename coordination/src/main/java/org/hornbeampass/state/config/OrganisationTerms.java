package org.hornbeampass.state.config;

import org.hornbeampass.state.ModelId;

import java.util.Set;

/**
 * An organisation's terms in force: its own values over its template's over the defaults.
 *
 * <p>Immutable; safe for use by any thread. The parts are those of {@link Parameters}.
 *
 * @param models models that may be asked for
 * @param adapters adapters that may be asked for
 * @param services plain services that may be called
 * @param workKinds kinds of work that may be sent
 * @param priority from 0 (first to be shed) to 9 (last to be shed)
 * @param maxCompletionTokens the largest token limit of one request
 * @param maxConcurrent the largest number of requests in progress at once, over all VMs
 * @param requestsPerSecond the largest rate of requests, over all VMs
 * @param budgetPreference what the organisation weighs more heavily
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

    /** Returns the terms in force for set parameters, with defaults where none is set. */
    public static OrganisationTerms of(Parameters set) {
        return new OrganisationTerms(
                set.models().orElse(Set.of()),
                set.adapters().orElse(Set.of()),
                set.services().orElse(Set.of()),
                set.workKinds().orElse(Set.of(WorkKind.CHAT)),
                set.priority().orElse(DEFAULT_PRIORITY),
                set.maxCompletionTokens().orElse(DEFAULT_MAX_COMPLETION_TOKENS),
                set.maxConcurrent().orElse(DEFAULT_MAX_CONCURRENT),
                set.requestsPerSecond().orElse(DEFAULT_REQUESTS_PER_SECOND),
                set.budgetPreference().orElse(BudgetPreference.AVOID_STRANDING));
    }
}
