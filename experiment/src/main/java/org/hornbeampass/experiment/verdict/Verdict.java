package org.hornbeampass.experiment.verdict;

import java.util.List;

/**
 * The verdict on an experiment.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param findings each breach of each rule
 */
public record Verdict(List<Finding> findings) {
    /** Copies the list. */
    public Verdict {
        findings = List.copyOf(findings);
    }

    /** Checks every rule. */
    public static Verdict of(Observation seen) {
        return new Verdict(
                VerdictRules.all().stream().flatMap(rule -> rule.check(seen).stream()).toList());
    }

    /** Returns whether every rule holds. */
    public boolean passes() {
        return findings.isEmpty();
    }

    /** Returns the breaches of one rule. */
    public List<Finding> of(VerdictRule rule) {
        return findings.stream().filter(f -> f.rule().equals(rule.name())).toList();
    }
}
