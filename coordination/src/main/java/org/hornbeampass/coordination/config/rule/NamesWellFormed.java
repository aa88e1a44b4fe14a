package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Requires that names can be used in a platform key and in an HTTP header.
 *
 * <p>Stateless; thread-safe.
 */
final class NamesWellFormed implements ConfigRule {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    @Override
    public List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        List<Finding> findings = new ArrayList<>();
        String object = change.object().value();
        checkName("the name", object.substring(object.indexOf('/') + 1), findings);
        if (change instanceof ConfigChange.PutOrganisation put) {
            put.organisation().budgets().forEach(b -> checkName("the budget", b.value(), findings));
            put.organisation()
                    .keyHashes()
                    .keySet()
                    .forEach(k -> checkName("the key name", k, findings));
        }
        return findings;
    }

    private static void checkName(String what, String name, List<Finding> findings) {
        if (!NAME.matcher(name).matches()) {
            findings.add(
                    Finding.invalid(
                            what + " \"" + name + "\" is not well formed",
                            "use 1 to 64 letters, digits, dots, hyphens or underscores,"
                                    + " beginning with a letter or digit"));
        }
    }
}
