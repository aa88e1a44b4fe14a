package org.hornbeampass.experiment.verdict;

import java.util.List;

/**
 * The one registry of rules.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class VerdictRules {
    private static final List<VerdictRule> ALL =
            List.of(
                    new SpendWithinPaid(),
                    new BilledOnce(),
                    new WholeOwnAnswer(),
                    new NotRunIsTrue(),
                    new RunsAtMostOnce(),
                    new LeavingGetsNoWork(),
                    new RestartCutsNothing(),
                    new ConfigurationInForce(),
                    new LedgersReconcile());

    private VerdictRules() {}

    /** Returns every rule. */
    public static List<VerdictRule> all() {
        return ALL;
    }
}
