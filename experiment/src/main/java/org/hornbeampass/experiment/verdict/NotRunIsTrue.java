package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.verdict.Observation.Run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A request whose every answer said "not run" was run by no upstream.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class NotRunIsTrue implements VerdictRule {
    @Override
    public List<Finding> check(Observation seen) {
        Set<String> ran = new HashSet<>();
        seen.upstreams().runs().stream().map(Run::requestId).forEach(ran::add);
        seen.upstreams().records().stream().map(Run::requestId).forEach(ran::add);
        List<Finding> findings = new ArrayList<>();
        for (SeenRequest request : seen.requests()) {
            if (request.saidNotRun() && ran.contains(request.id())) {
                findings.add(
                        finding(
                                request.id(),
                                "an upstream ran it, though every answer said not run; the last"
                                        + " was "
                                        + request.last().errorCode().orElse("none")));
            }
        }
        return findings;
    }
}
