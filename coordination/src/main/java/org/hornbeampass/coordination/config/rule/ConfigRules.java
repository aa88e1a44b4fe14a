package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;

/**
 * The rules that every configuration change must comply with.
 *
 * <p>Stateless; thread-safe.
 */
public final class ConfigRules {
    private static final List<ConfigRule> ALL =
            List.of(
                    new DeletedObjectExists(),
                    new NamesWellFormed(),
                    new TemplateExists(),
                    new TemplateNotInUse(),
                    new PriorityInRange(),
                    new LimitsPositive(),
                    new KeyHashesWellFormed(),
                    new KeyHashesUnique(),
                    new UpstreamUriWellFormed(),
                    new UpstreamLimitPositive(),
                    new OperatorKeyRequired(),
                    new ChangeSizeBounded());

    private ConfigRules() {}

    /** Returns the findings of all rules; empty if the change may be accepted. */
    public static List<Finding> check(ConfigSnapshot before, ConfigChange change) {
        return ALL.stream().flatMap(rule -> rule.check(before, change).stream()).toList();
    }
}
