package org.hornbeampass.experiment.verdict;

import java.util.List;

/**
 * One rule that must always hold.
 *
 * <p>Implementations are stateless; safe for use by any thread.
 */
public interface VerdictRule {
    /** Returns each breach that the observation shows; empty where the rule holds. */
    List<Finding> check(Observation seen);

    /** Returns the rule's name in reports. */
    default String name() {
        return getClass().getSimpleName();
    }

    /** Returns a breach of this rule. */
    default Finding finding(String subject, String detail) {
        return new Finding(name(), subject, detail);
    }
}
