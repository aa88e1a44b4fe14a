package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * Requires that an object to be deleted exists.
 *
 * <p>Stateless; thread-safe.
 */
final class DeletedObjectExists implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!change.deletes() || before.objectRevision(change.object()) != 0) {
            return List.of();
        }
        return List.of(
                new Finding(
                        ErrorKind.NOT_FOUND,
                        change.object() + " does not exist at revision " + before.revision(),
                        "list the objects to find the name of an existing one"));
    }
}
