package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.verdict.Observation.Run;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A service call that may not be repeated was executed at most once, and exactly once where its
 * caller was told so.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class RunsAtMostOnce implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        Map<String, Long> executions =
                seen.upstreams().records().stream()
                        .collect(Collectors.groupingBy(Run::requestId, Collectors.counting()));
        List<Finding> findings = new ArrayList<>();
        for (SeenRequest request : seen.requests()) {
            if (request.kind() != RequestKind.SERVICE_ONCE) {
                continue;
            }
            long times = executions.getOrDefault(request.id(), 0L);
            if (times > 1) {
                findings.add(finding(request.id(), "was executed " + times + " times"));
            } else if (times == 0 && request.served()) {
                findings.add(finding(request.id(), "was answered, and no service executed it"));
            }
        }
        return findings;
    }
}
