package org.hornbeampass.experiment.verdict;

import org.hornbeampass.state.requests.Bill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Each answered chat has exactly one bill, of the tokens that its caller was told; one that did not
 * run has none; and the bills add up to the records' own totals.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class BilledOnce implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        List<Finding> findings = new ArrayList<>();
        Map<String, List<Bill>> bills =
                seen.platform().bills().stream()
                        .collect(
                                Collectors.groupingBy(
                                        b -> id(b.key().organisation().value(), requestId(b))));
        for (SeenRequest request : seen.requests()) {
            if (request.kind() == RequestKind.CHAT) {
                String id = id(request.organisation(), request.id());
                check(request, bills.getOrDefault(id, List.of()), findings);
            }
        }
        long sum = seen.platform().bills().stream().mapToLong(Bill::tokens).sum();
        if (sum != seen.platform().billedTokens()) {
            findings.add(
                    finding(
                            "all bills",
                            "the bills come to "
                                    + sum
                                    + " tokens, the records' totals to "
                                    + seen.platform().billedTokens()));
        }
        return findings;
    }

    private static String requestId(Bill bill) {
        return bill.key().request().value();
    }

    private static String id(String organisation, String request) {
        return organisation + "/" + request;
    }

    private void check(SeenRequest request, List<Bill> bills, List<Finding> findings) {
        if (bills.size() > 1) {
            findings.add(finding(request.id(), "has " + bills.size() + " bills"));
        } else if (request.served()) {
            checkServed(request, bills, findings);
        } else if (request.saidNotRun() && !bills.isEmpty()) {
            findings.add(finding(request.id(), "was billed, though all answers said not run"));
        }
    }

    private void checkServed(SeenRequest request, List<Bill> bills, List<Finding> findings) {
        if (bills.isEmpty()) {
            findings.add(
                    finding(
                            request.id(),
                            "was served by "
                                    + request.last().receipt().router()
                                    + " at "
                                    + request.last().endedAtMs()
                                    + " and has no bill"));
            return;
        }
        long used = request.usedTokens().orElse(-1L);
        if (bills.get(0).tokens() != used) {
            findings.add(
                    finding(
                            request.id(),
                            "was billed "
                                    + bills.get(0).tokens()
                                    + " tokens, its caller was told "
                                    + used
                                    + ", over "
                                    + request.tries().size()
                                    + " tries"));
        }
    }
}
