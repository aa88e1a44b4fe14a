package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.Json;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Requires that a change is small enough to be sent between routers.
 *
 * <p>Stateless; thread-safe.
 */
final class ChangeSizeBounded implements ConfigRule {

    static final int MAX_BYTES = 64 * 1024;

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        int bytes = Json.encode(change).getBytes(StandardCharsets.UTF_8).length;
        if (bytes <= MAX_BYTES) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        change.object() + " has a size of " + bytes + " bytes",
                        "keep it within " + MAX_BYTES + " bytes"));
    }
}
