package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.Collection;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Requires that keys are given as SHA-256 hashes in lower-case hex, never as plain text.
 *
 * <p>Stateless; thread-safe.
 */
final class KeyHashesWellFormed implements ConfigRule {

    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        return hashes(change).stream()
                .filter(hash -> hash == null || !SHA_256.matcher(hash).matches())
                .map(
                        hash ->
                                Finding.invalid(
                                        "a key hash of "
                                                + change.object()
                                                + " is not 64 lower-case hex digits",
                                        "give the SHA-256 of the key, not the key"))
                .toList();
    }

    private static Collection<String> hashes(ConfigChange change) {
        if (change instanceof ConfigChange.PutOrganisation put) {
            return put.organisation().keyHashes().values();
        }
        if (change instanceof ConfigChange.PutOperatorKey put) {
            return java.util.Collections.singletonList(put.hash());
        }
        return List.of();
    }
}
