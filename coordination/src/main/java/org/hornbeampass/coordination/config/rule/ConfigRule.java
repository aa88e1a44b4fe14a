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
     * Returns the problems of a change; empty if the change complies with the rule or the rule does
     * not apply.
     *
     * @param before the configuration that the change would be applied to
     * @param change the change
     */
    List<Finding> check(ConfigSnapshot before, ConfigChange change);
}
