package org.hornbeampass.state.config;

import org.hornbeampass.state.ModelId;

import java.util.Optional;
import java.util.Set;

/**
 * Parameters that a template sets and an organisation may override individually.
 *
 * <p>An empty value means that the parameter is not set. Immutable; safe for use by any thread.
 *
 * @param models the models that callers may request
 * @param adapters the names of the adapters that callers may request
 * @param services the names of the plain services that callers may call
 * @param workKinds the kinds of work that callers may send
 * @param priority load shedding priority from 0 (first to be shed) to 9 (last to be shed)
 * @param maxCompletionTokens the maximum number of completion tokens of one request
 * @param maxConcurrent the maximum number of concurrent requests over all VMs
 * @param requestsPerSecond the maximum request rate over all VMs
 * @param budgetPreference how many tokens VMs may hold ahead of demand
 */
public record Parameters(
        Optional<Set<ModelId>> models,
        Optional<Set<String>> adapters,
        Optional<Set<String>> services,
        Optional<Set<WorkKind>> workKinds,
        Optional<Integer> priority,
        Optional<Integer> maxCompletionTokens,
        Optional<Integer> maxConcurrent,
        Optional<Integer> requestsPerSecond,
        Optional<BudgetPreference> budgetPreference) {
    /** Copies the sets. */
    public Parameters {
        models = models.map(Set::copyOf);
        adapters = adapters.map(Set::copyOf);
        services = services.map(Set::copyOf);
        workKinds = workKinds.map(Set::copyOf);
    }

    /** Returns parameters with no value set. */
    public static Parameters none() {
        return new Parameters(
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns these parameters, with those that are not set taken from {@code fallback}. */
    public Parameters withFallback(Parameters fallback) {
        return new Parameters(
                models.or(fallback::models),
                adapters.or(fallback::adapters),
                services.or(fallback::services),
                workKinds.or(fallback::workKinds),
                priority.or(fallback::priority),
                maxCompletionTokens.or(fallback::maxCompletionTokens),
                maxConcurrent.or(fallback::maxConcurrent),
                requestsPerSecond.or(fallback::requestsPerSecond),
                budgetPreference.or(fallback::budgetPreference));
    }
}
