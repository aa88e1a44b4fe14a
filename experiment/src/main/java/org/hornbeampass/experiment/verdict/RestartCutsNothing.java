package org.hornbeampass.experiment.verdict;

import java.util.ArrayList;
import java.util.List;

/**
 * No answer of a router that shuts down gracefully is cut.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class RestartCutsNothing implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        List<Finding> findings = new ArrayList<>();
        for (SeenRequest request : seen.requests()) {
            for (SeenTry one : request.tries()) {
                if (one.cut() && duringRestart(seen, one)) {
                    findings.add(
                            finding(
                                    request.id(),
                                    "its answer was cut by a graceful restart at "
                                            + one.receipt().router()
                                            + " with status "
                                            + one.receipt().status()));
                }
            }
        }
        return findings;
    }

    private static boolean duringRestart(Observation seen, SeenTry one) {
        return seen.routers().restarts().stream()
                .anyMatch(
                        span ->
                                span.address().equals(one.receipt().router())
                                        && span.holds(one.endedAtMs()));
    }
}
