package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Requires that a base URI has a scheme, a host and optionally a port, and nothing else.
 *
 * <p>Stateless; thread-safe.
 */
final class UpstreamUriWellFormed implements ConfigRule {

    private static final Pattern URI =
            Pattern.compile("https?://([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:]+\\])(:[0-9]{1,5})?/?");

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        if (!(change instanceof ConfigChange.PutUpstream put)
                || URI.matcher(put.upstream().baseUri()).matches()) {
            return List.of();
        }
        return List.of(
                Finding.invalid(
                        "baseUri \"" + put.upstream().baseUri() + "\" is not well formed",
                        "use a form such as http://10.0.0.1:9001"));
    }
}
