package org.hornbeampass.experiment.verdict;

import java.util.List;

/**
 * The operators' audit of bills and budgets finds nothing.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class LedgersReconcile implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        String problem = seen.platform().auditProblem();
        return problem.isEmpty() ? List.of() : List.of(finding("audit", problem));
    }
}
