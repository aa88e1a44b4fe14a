package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.Parameters;

import java.util.Optional;

/**
 * Extracts the parameters that a change sets in a template or an organisation.
 *
 * <p>Stateless; thread-safe.
 */
final class ChangedParameters {
    private ChangedParameters() {}

    static Optional<Parameters> of(ConfigChange change) {
        if (change instanceof ConfigChange.PutTemplate put) {
            return Optional.of(put.template().parameters());
        }
        if (change instanceof ConfigChange.PutOrganisation put) {
            return Optional.of(put.organisation().overrides());
        }
        return Optional.empty();
    }
}
