package org.hornbeampass.cli.command;

import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.config.BudgetPreference;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.WorkKind;

import picocli.CommandLine.Option;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The options that set terms of a template or an organisation.
 *
 * <p>For use by one thread.
 */
final class ParameterOptions {
    @Option(
            names = "--models",
            split = ",",
            paramLabel = "MODEL",
            description = "Models that may be asked for.")
    private Set<String> mModels;

    @Option(
            names = "--adapters",
            split = ",",
            paramLabel = "ADAPTER",
            description = "Adapters that may be asked for.")
    private Set<String> mAdapters;

    @Option(
            names = "--services",
            split = ",",
            paramLabel = "SERVICE",
            description = "Plain services that may be called.")
    private Set<String> mServices;

    @Option(
            names = "--work-kinds",
            split = ",",
            paramLabel = "KIND",
            description = "Kinds of work that may be sent: ${COMPLETION-CANDIDATES}.")
    private Set<WorkKind> mWorkKinds;

    @Option(
            names = "--priority",
            paramLabel = "N",
            description = "From 0 (first to be shed) to 9 (last to be shed).")
    private Integer mPriority;

    @Option(
            names = "--max-completion-tokens",
            paramLabel = "N",
            description = "The largest token limit of one request.")
    private Integer mMaxCompletionTokens;

    @Option(
            names = "--max-concurrent",
            paramLabel = "N",
            description = "Requests in progress at once, over all VMs.")
    private Integer mMaxConcurrent;

    @Option(
            names = "--requests-per-second",
            paramLabel = "N",
            description = "The largest rate of requests, over all VMs.")
    private Integer mRequestsPerSecond;

    @Option(
            names = "--budget-preference",
            paramLabel = "PREFERENCE",
            description = "What weighs more heavily: ${COMPLETION-CANDIDATES}.")
    private BudgetPreference mBudgetPreference;

    /** Returns the parameters that options set. */
    Parameters set() {
        return new Parameters(
                Optional.ofNullable(mModels)
                        .map(m -> m.stream().map(ModelId::new).collect(Collectors.toSet())),
                Optional.ofNullable(mAdapters),
                Optional.ofNullable(mServices),
                Optional.ofNullable(mWorkKinds),
                Optional.ofNullable(mPriority),
                Optional.ofNullable(mMaxCompletionTokens),
                Optional.ofNullable(mMaxConcurrent),
                Optional.ofNullable(mRequestsPerSecond),
                Optional.ofNullable(mBudgetPreference));
    }

    /**
     * Returns a base with the parameters named in {@code unset} taken out and the options put in.
     */
    Parameters changed(Parameters base, List<ParameterName> unset) {
        Set<ParameterName> out = new HashSet<>(unset);
        Parameters left =
                new Parameters(
                        keep(out, ParameterName.MODELS, base.models()),
                        keep(out, ParameterName.ADAPTERS, base.adapters()),
                        keep(out, ParameterName.SERVICES, base.services()),
                        keep(out, ParameterName.WORK_KINDS, base.workKinds()),
                        keep(out, ParameterName.PRIORITY, base.priority()),
                        keep(out, ParameterName.MAX_COMPLETION_TOKENS, base.maxCompletionTokens()),
                        keep(out, ParameterName.MAX_CONCURRENT, base.maxConcurrent()),
                        keep(out, ParameterName.REQUESTS_PER_SECOND, base.requestsPerSecond()),
                        keep(out, ParameterName.BUDGET_PREFERENCE, base.budgetPreference()));
        return set().withFallback(left);
    }

    private static <T> Optional<T> keep(
            Set<ParameterName> out, ParameterName name, Optional<T> value) {
        return out.contains(name) ? Optional.empty() : value;
    }
}
