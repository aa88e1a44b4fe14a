package org.hornbeampass.state.requests;

import org.hornbeampass.state.BudgetKey;

import java.util.List;
import java.util.Map;

/**
 * What the platform's records tell about bills and claims.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param totals what was billed to each budget since the beginning
 * @param openClaims claims without an outcome; at most as many as were asked for
 * @param moreOpenClaims how many further claims have no outcome
 * @param rememberedIds how many ids of bills are remembered
 * @param findings what is wrong with the records; empty where nothing is
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

    /** Returns the totals of all budgets together. */
    public BudgetTotals sum() {
        return totals.values().stream().reduce(BudgetTotals.ZERO, BudgetTotals::plus);
    }
}
