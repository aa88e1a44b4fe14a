package org.hornbeampass.experiment.verdict;

import org.hornbeampass.experiment.verdict.Observation.Accepted;
import org.hornbeampass.experiment.verdict.Observation.RevisionSample;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An accepted revision is in force at every router within {@value #BOUND_MS} ms, counted from the
 * end of the last time in which the router was out of reach; and no router goes back.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ConfigurationInForce implements VerdictRule {
    static final long BOUND_MS = 13_000;

    @Override
    public List<Finding> check(Observation seen) {
        List<Finding> findings = new ArrayList<>();
        Map<String, Long> newest = new HashMap<>();
        for (RevisionSample sample : seen.routers().revisions()) {
            long before = newest.getOrDefault(sample.vm(), 0L);
            if (sample.revision() < before) {
                findings.add(
                        finding(
                                sample.vm(),
                                "went back from revision " + before + " to " + sample.revision()));
            }
            newest.merge(sample.vm(), sample.revision(), Math::max);
            long due = dueRevision(seen, sample);
            if (sample.revision() < due) {
                findings.add(
                        finding(
                                sample.vm(),
                                "ran revision "
                                        + sample.revision()
                                        + " more than "
                                        + BOUND_MS
                                        + " ms after revision "
                                        + due
                                        + " was accepted"));
                return findings;
            }
        }
        return findings;
    }

    /** Returns the newest revision that a router had to run at a time. */
    private static long dueRevision(Observation seen, RevisionSample sample) {
        long due = 0;
        for (Accepted accepted : seen.platform().accepted()) {
            long fromMs = accepted.atMs();
            for (Span span : seen.routers().outOfReach()) {
                if (span.subject().equals(sample.vm()) && span.fromMs() <= sample.atMs()) {
                    fromMs = Math.max(fromMs, span.untilMs());
                }
            }
            if (sample.atMs() > fromMs + BOUND_MS) {
                due = Math.max(due, accepted.revision());
            }
        }
        return due;
    }
}
