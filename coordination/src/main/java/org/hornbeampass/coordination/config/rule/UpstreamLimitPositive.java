package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Requires that the concurrency limit of an upstream is at least 1.
 *
 * <p>Stateless; thread-safe.
 */
final class UpstreamLimitPositive implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!(change instanceof ConfigChange.PutUpstream put)
                || put.upstream().maxConcurrent() >= 1) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        "maxConcurrent " + put.upstream().maxConcurrent() + " is less than 1",
                        "set at least 1, or delete the upstream"));
    }
}
