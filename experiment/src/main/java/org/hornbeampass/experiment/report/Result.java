package org.hornbeampass.experiment.report;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.hornbeampass.experiment.load.Latencies;
import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.Finding;
import org.hornbeampass.experiment.verdict.Measures;
import org.hornbeampass.experiment.verdict.Verdict;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the result file of an experiment holds.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param experiment the experiment's name
 * @param seed its seed
 * @param passes whether every rule held
 * @param unanswered requests that had not ended when the patience was over
 * @param measures the figures to compare
 * @param latencies the latencies in milliseconds by name
 * @param findings each breach
 * @param failedSteps the steps of the timeline that failed
 */
public record Result(
        String experiment,
        long seed,
        boolean passes,
        long unanswered,
        Measures measures,
        Map<String, Latencies.Summary> latencies,
        List<Finding> findings,
        @JsonProperty("failed_steps") List<String> failedSteps) {
    private static final String FAILED = " FAILED: ";

    /** Copies the collections. */
    public Result {
        latencies = java.util.Collections.unmodifiableMap(new TreeMap<>(latencies));
        findings = List.copyOf(findings);
        failedSteps = List.copyOf(failedSteps);
    }

    /** Judges an outcome; one that has a failed step or an open request does not pass. */
    public static Result of(Outcome outcome) {
        Verdict verdict = Verdict.of(outcome.seen());
        List<String> failed = new ArrayList<>();
        for (Outcome.Event event : outcome.events()) {
            if (event.what().contains(FAILED)) {
                failed.add(event.what());
            }
        }
        boolean whole = failed.isEmpty() && outcome.unanswered() == 0;
        return new Result(
                outcome.experiment().name(),
                outcome.experiment().seed(),
                verdict.passes() && whole,
                outcome.unanswered(),
                Measures.of(outcome.seen()),
                outcome.latencies(),
                verdict.findings(),
                failed);
    }

    /** Returns the figures to compare by name. */
    Map<String, Double> figures() {
        Map<String, Double> all = new TreeMap<>();
        all.put("requests", (double) measures.requests());
        all.put("served", (double) measures.served());
        all.put("overspend_tokens", (double) measures.overspendTokens());
        all.put("false_refusals", (double) measures.falseRefusals());
        all.put("attempts_per_request", measures.attemptsPerRequest());
        all.put("findings", (double) findings.size());
        measures.falseRefusalsBy().forEach((o, n) -> all.put("false_refusals." + o, (double) n));
        measures.refusals().forEach((code, n) -> all.put("refused." + code, (double) n));
        latencies.forEach(
                (name, l) -> {
                    all.put(name + ".p50_ms", l.p50());
                    all.put(name + ".p95_ms", l.p95());
                    all.put(name + ".p99_ms", l.p99());
                    all.put(name + ".max_ms", l.max());
                });
        return all;
    }
}
