package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.hornbeampass.state.requests.Bill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * At every time, what callers of an organisation were served, and what holders drew, is within what
 * was paid; at the end, so are the bills.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class SpendWithinPaid implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        List<Finding> findings = new ArrayList<>();
        Map<String, List<BudgetSample>> samples =
                seen.platform().budgets().stream()
                        .collect(Collectors.groupingBy(BudgetSample::organisation));
        samples.forEach((organisation, all) -> check(seen, organisation, all, findings));
        for (Bill bill : seen.platform().bills()) {
            String organisation = bill.key().organisation().value();
            if (!samples.containsKey(organisation)) {
                findings.add(finding(organisation, "was billed, though nothing was ever paid"));
            }
        }
        return findings;
    }

    private void check(
            Observation seen, String organisation, List<BudgetSample> all, List<Finding> findings) {
        Served served = Served.of(seen.requests(), organisation);
        for (BudgetSample sample : all) {
            if (sample.drawn() > sample.paid()) {
                findings.add(breach(organisation, sample, sample.drawn(), "drawn"));
                return;
            }
            long tokens = served.upTo(sample.atMs());
            if (tokens > sample.paid()) {
                findings.add(breach(organisation, sample, tokens, "served"));
                return;
            }
        }
        BudgetSample last = all.get(all.size() - 1);
        long billed = billed(seen, organisation);
        if (billed > last.paid()) {
            findings.add(breach(organisation, last, billed, "billed"));
        }
    }

    private Finding breach(String organisation, BudgetSample sample, long tokens, String how) {
        return finding(
                organisation,
                tokens + " tokens " + how + " of " + sample.paid() + " paid at " + sample.atMs());
    }

    private static long billed(Observation seen, String organisation) {
        return seen.platform().bills().stream()
                .filter(b -> b.key().organisation().value().equals(organisation))
                .mapToLong(Bill::tokens)
                .sum();
    }
}
