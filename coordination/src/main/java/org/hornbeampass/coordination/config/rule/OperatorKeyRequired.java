package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Requires that at least one operator key remains, so that operators can't lock themselves out.
 *
 * <p>Stateless; thread-safe.
 */
final class OperatorKeyRequired implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        boolean last =
                change instanceof ConfigChange.DeleteOperatorKey delete
                        && before.operatorKeys().size() == 1
                        && before.operatorKeys().containsKey(delete.name());
        if (!last) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        change.object() + " is the last operator key",
                        "add another operator key first"));
    }
}
