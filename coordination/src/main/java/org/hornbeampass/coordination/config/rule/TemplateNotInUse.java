package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.List;

/**
 * Requires that a template to be deleted is not used by any organisation.
 *
 * <p>Stateless; thread-safe.
 */
final class TemplateNotInUse implements ConfigRule {

    private static final int MAX_LISTED = 5;

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
                                + users.stream().limit(MAX_LISTED).toList(),
                        "assign another template to them first"));
    }
}
