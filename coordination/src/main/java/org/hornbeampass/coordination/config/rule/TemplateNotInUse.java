package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.List;

/**
 * Requires that no organisation uses a template that is to be deleted.
 *
 * <p>Stateless; thread-safe.
 */
final class TemplateNotInUse implements ConfigRule {

    private static final int MAX_NAMED = 5;

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!(change instanceof ConfigChange.DeleteTemplate delete)) {
            return List.of();
        }
        List<String> users =
                before.organisations().values().stream()
                        .filter(o -> o.template().equals(delete.name()))
                        .map(OrganisationSpec::id)
                        .sorted()
                        .map(Object::toString)
                        .toList();
        if (users.isEmpty()) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        "template \""
                                + delete.name()
                                + "\" is used by "
                                + users.size()
                                + " organisations, such as "
                                + users.stream().limit(MAX_NAMED).toList(),
                        "give them another template first"));
    }
}
