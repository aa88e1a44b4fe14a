package org.hornbeampass.state.requests;

import org.hornbeampass.state.BudgetKey;

import java.util.List;
import java.util.Map;

/**
 * The bills and claims that an audit found in the platform's records.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param totals the totals billed to each budget since it was created
 * @param openClaims claims without an outcome, at most as many as were requested
 * @param moreOpenClaims the number of further claims without an outcome
 * @param rememberedIds the number of ids of bills that are remembered
 * @param findings the errors found in the records; empty if there are none
 */
public record RequestAuditReport(
        Map<BudgetKey, BudgetTotals> totals,
        List<OpenClaim> openClaims,
        long moreOpenClaims,
        long rememberedIds,
        List<String> findings) {
    /** Copies the collections. */
    public RequestAuditReport {
        totals = Map.copyOf(totals);
        openClaims = List.copyOf(openClaims);
        findings = List.copyOf(findings);
    }

    /** Returns the sum of the totals of all budgets. */
    public BudgetTotals sum() {
        return totals.values().stream().reduce(BudgetTotals.ZERO, BudgetTotals::plus);
    }
}
