package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Requires a priority from 0 to 9.
 *
 * <p>Stateless; thread-safe.
 */
final class PriorityInRange implements ConfigRule {

    private static final int MAX = 9;

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        return ChangedParameters.of(change)
                .flatMap(p -> p.priority())
                .filter(p -> p < 0 || p > MAX)
                .map(
                        p ->
                                Finding.invalid(
                                        "priority " + p + " is out of range",
                                        "use 0 (first to be shed) to 9 (last to be shed)"))
                .stream()
                .toList();
    }
}
