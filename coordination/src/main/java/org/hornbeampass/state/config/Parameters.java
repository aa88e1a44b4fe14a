package org.hornbeampass.state.config;

import org.hornbeampass.state.ModelId;

import java.util.Optional;
import java.util.Set;

/**
 * Terms that a template sets and an organisation may override, each on its own.
 *
 * <p>An empty value means "not set here". Immutable; safe for use by any thread.
 *
 * @param models models that may be asked for
 * @param adapters adapters that may be asked for, by name
 * @param services plain services that may be called, by name
 * @param workKinds kinds of work that may be sent
 * @param priority from 0 (first to be shed) to 9 (last to be shed)
 * @param maxCompletionTokens the largest token limit of one request
 * @param maxConcurrent the largest number of requests in progress at once, over all VMs
 * @param requestsPerSecond the largest rate of requests, over all VMs
 * @param budgetPreference what the organisation weighs more heavily
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

    /** Returns parameters of which none is set. */
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

    /** Returns these parameters with each one that is not set taken from {@code below}. */
    public Parameters withFallback(Parameters below) {
        return new Parameters(
                models.or(below::models),
                adapters.or(below::adapters),
                services.or(below::services),
                workKinds.or(below::workKinds),
                priority.or(below::priority),
                maxCompletionTokens.or(below::maxCompletionTokens),
                maxConcurrent.or(below::maxConcurrent),
                requestsPerSecond.or(below::requestsPerSecond),
                budgetPreference.or(below::budgetPreference));
    }
}
