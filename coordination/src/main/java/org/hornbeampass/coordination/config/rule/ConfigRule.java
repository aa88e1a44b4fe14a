package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Checks one property of a configuration change before it is accepted.
 *
 * <p>Implementations are stateless and thread-safe, and are listed in {@link ConfigRules}.
 */
@FunctionalInterface
interface ConfigRule {
    /**
     * Returns what is wrong with a change; empty where the rule is kept or does not apply.
     *
     * @param before the configuration that the change would be applied to
     * @param change the change
     */
    List<Finding> check(ConfigSnapshot before, ConfigChange change);
}
