package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.hornbeampass.experiment.verdict.Observation.Run;
import org.hornbeampass.state.requests.Bill;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The figures by which a policy is compared, beside the rules that must always hold.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param requests how many requests were sent
 * @param served how many were answered whole
 * @param overspendTokens tokens billed beyond what was paid, over all organisations
 * @param falseRefusals requests refused for their budget while what was paid and not served would
 *     have covered them
 * @param falseRefusalsBy the same by organisation
 * @param refusals requests without a whole answer, by the code of the last error
 * @param attemptsPerRequest attempts that engines ran for each chat that ran at all
 */
public record Measures(
        long requests,
        long served,
        long overspendTokens,
        long falseRefusals,
        Map<String, Long> falseRefusalsBy,
        Map<String, Long> refusals,
        double attemptsPerRequest) {
    private static final String BUDGET_CODES = "budget_";

    /** Copies the maps. */
    public Measures {
        falseRefusalsBy = java.util.Collections.unmodifiableMap(new TreeMap<>(falseRefusalsBy));
        refusals = java.util.Collections.unmodifiableMap(new TreeMap<>(refusals));
    }

    /** Takes the figures from an observation. */
    public static Measures of(Observation seen) {
        Map<String, Long> refusals = new TreeMap<>();
        Map<String, Long> falseRefusals = new TreeMap<>();
        long served = 0;
        Map<String, Served> spent = new TreeMap<>();
        for (SeenRequest request : seen.requests()) {
            if (request.served()) {
                served++;
                continue;
            }
            String code = request.last().errorCode().orElse("cut");
            refusals.merge(code, 1L, Long::sum);
            Served tokens =
                    spent.computeIfAbsent(
                            request.organisation(), o -> Served.of(seen.requests(), o));
            if (code.startsWith(BUDGET_CODES) && covered(seen, request, tokens)) {
                falseRefusals.merge(request.organisation(), 1L, Long::sum);
            }
        }
        return new Measures(
                seen.requests().size(),
                served,
                overspend(seen),
                falseRefusals.values().stream().mapToLong(n -> n).sum(),
                falseRefusals,
                refusals,
                attemptsPerRequest(seen.upstreams().runs()));
    }

    private static boolean covered(Observation seen, SeenRequest request, Served tokens) {
        long atMs = request.last().endedAtMs();
        long limit = 0;
        for (BudgetSample sample : seen.platform().budgets()) {
            if (sample.atMs() <= atMs && sample.organisation().equals(request.organisation())) {
                limit = sample.limit();
            }
        }
        return limit - tokens.upTo(atMs) >= request.worstTokens();
    }

    private static long overspend(Observation seen) {
        Map<String, Long> left = new TreeMap<>();
        for (BudgetSample sample : seen.platform().budgets()) {
            left.put(sample.organisation(), sample.paid());
        }
        for (Bill bill : seen.platform().bills()) {
            left.merge(bill.key().organisation().value(), -bill.tokens(), Long::sum);
        }
        return left.values().stream().mapToLong(tokens -> Math.max(0, -tokens)).sum();
    }

    private static double attemptsPerRequest(List<Run> runs) {
        long requests = runs.stream().map(Run::requestId).distinct().count();
        return requests == 0 ? 0 : (double) runs.size() / requests;
    }
}
