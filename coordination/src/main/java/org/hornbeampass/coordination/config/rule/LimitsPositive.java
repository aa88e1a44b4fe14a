package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Requires that each limit that a change sets is at least 1.
 *
 * <p>Stateless; thread-safe.
 */
final class LimitsPositive implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        List<Finding> findings = new ArrayList<>();
        ChangedParameters.of(change)
                .ifPresent(
                        p -> {
                            check("maxCompletionTokens", p.maxCompletionTokens(), findings);
                            check("maxConcurrent", p.maxConcurrent(), findings);
                            check("requestsPerSecond", p.requestsPerSecond(), findings);
                        });
        return findings;
    }

    private static void check(String name, Optional<Integer> limit, List<Finding> findings) {
        limit.filter(l -> l < 1)
                .ifPresent(
                        l ->
                                findings.add(
                                        Finding.invalid(
                                                name + " " + l + " is less than 1",
                                                "set at least 1, or leave it out to inherit")));
    }
}
