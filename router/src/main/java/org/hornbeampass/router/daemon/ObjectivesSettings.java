package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.slo.Objective;
import org.hornbeampass.coordination.slo.ObjectiveTerms;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.protocol.settings.SettingsNode;
import org.hornbeampass.state.OrganisationId;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the service-level objectives of a router's settings: the general ones, and those of
 * organisations with their own.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ObjectivesSettings {
    private static final double MIN_TARGET = 0.5;
    private static final double MAX_TARGET = 0.999_999;
    private static final long MAX_THRESHOLD_MS = 3_600_000;

    private ObjectivesSettings() {}

    static Objectives read(SettingsNode node) {
        Objectives defaults = Objectives.defaults();
        Map<Objective, ObjectiveTerms> general = terms(node, defaults.general());
        Map<OrganisationId, Map<Objective, ObjectiveTerms>> overrides = new HashMap<>();
        Optional<SettingsNode> organisations = node.optionalNode("organisations");
        if (organisations.isPresent()) {
            organisations
                    .get()
                    .entries(o -> overrides.put(new OrganisationId(o.name()), terms(o, general)));
        }
        return new Objectives(general, overrides);
    }

    private static Map<Objective, ObjectiveTerms> terms(
            SettingsNode node, Map<Objective, ObjectiveTerms> usual) {
        Map<Objective, ObjectiveTerms> terms = new EnumMap<>(Objective.class);
        terms.put(
                Objective.FIRST_TOKEN,
                latencyTerms(node, "first_token", usual.get(Objective.FIRST_TOKEN)));
        terms.put(
                Objective.BETWEEN_TOKENS,
                latencyTerms(node, "between_tokens", usual.get(Objective.BETWEEN_TOKENS)));
        terms.put(Objective.REFUSALS, ratioTerms(node, "refusals", usual.get(Objective.REFUSALS)));
        terms.put(Objective.ERRORS, ratioTerms(node, "errors", usual.get(Objective.ERRORS)));
        return terms;
    }

    private static ObjectiveTerms latencyTerms(
            SettingsNode node, String name, ObjectiveTerms usual) {
        return new ObjectiveTerms(
                node.optionalDuration(name, usual.thresholdMs(), 1, MAX_THRESHOLD_MS),
                target(node, name, usual));
    }

    private static ObjectiveTerms ratioTerms(SettingsNode node, String name, ObjectiveTerms usual) {
        return new ObjectiveTerms(0, target(node, name, usual));
    }

    private static double target(SettingsNode node, String name, ObjectiveTerms usual) {
        return node.optionalDouble(name + "_target", usual.target(), MIN_TARGET, MAX_TARGET);
    }
}
