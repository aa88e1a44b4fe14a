package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Requires that an organisation names a template that exists.
 *
 * <p>Stateless; thread-safe.
 */
final class TemplateExists implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!(change instanceof ConfigChange.PutOrganisation put)
                || before.templates().containsKey(put.organisation().template())) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        "template \"" + put.organisation().template() + "\" does not exist",
                        "create it first, or name one of "
                                + before.templates().keySet().stream().sorted().toList()));
    }
}
