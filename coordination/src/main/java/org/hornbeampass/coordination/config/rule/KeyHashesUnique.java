package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;

import java.util.Collection;
import java.util.List;

/**
 * Requires that no two organisations share a key.
 *
 * <p>Stateless; thread-safe.
 */
final class KeyHashesUnique implements ConfigRule {

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!(change instanceof ConfigChange.PutOrganisation put)) {
            return List.of();
        }
        Collection<String> own = put.organisation().keyHashes().values();
        return before.organisations().values().stream()
                .filter(o -> !o.id().equals(put.organisation().id()))
                .filter(o -> sharesKey(o, own))
                .map(
                        o ->
                                Finding.invalid(
                                        "organisation " + o.id() + " has one of these keys",
                                        "create a new key for " + put.organisation().id()))
                .toList();
    }

    private static boolean sharesKey(OrganisationSpec other, Collection<String> own) {
        return other.keyHashes().values().stream().anyMatch(own::contains);
    }
}
