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
 * Reads the objectives of a router's settings: in all, and of organisations that differ.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ObjectivesSettings {
    private static final double LEAST_TARGET = 0.5;
    private static final double MOST_TARGET = 0.999_999;
    private static final long MAX_MS = 3_600_000;

    private ObjectivesSettings() {}

    static Objectives read(SettingsNode node) {
        Objectives usual = Objectives.defaults();
        Map<Objective, ObjectiveTerms> general = terms(node, usual.general());
        Map<OrganisationId, Map<Objective, ObjectiveTerms>> own = new HashMap<>();
        Optional<SettingsNode> organisations = node.optionalNode("organisations");
        if (organisations.isPresent()) {
            organisations
                    .get()
                    .entries(o -> own.put(new OrganisationId(o.name()), terms(o, general)));
        }
        return new Objectives(general, own);
    }

    private static Map<Objective, ObjectiveTerms> terms(
            SettingsNode node, Map<Objective, ObjectiveTerms> usual) {
        Map<Objective, ObjectiveTerms> terms = new EnumMap<>(Objective.class);
        terms.put(
                Objective.FIRST_TOKEN,
                timed(node, "first_token", usual.get(Objective.FIRST_TOKEN)));
        terms.put(
                Objective.BETWEEN_TOKENS,
                timed(node, "between_tokens", usual.get(Objective.BETWEEN_TOKENS)));
        terms.put(Objective.REFUSALS, share(node, "refusals", usual.get(Objective.REFUSALS)));
        terms.put(Objective.ERRORS, share(node, "errors", usual.get(Objective.ERRORS)));
        return terms;
    }

    private static ObjectiveTerms timed(SettingsNode node, String name, ObjectiveTerms usual) {
        return new ObjectiveTerms(
                node.optionalDuration(name, usual.thresholdMs(), 1, MAX_MS),
                target(node, name, usual));
    }

    private static ObjectiveTerms share(SettingsNode node, String name, ObjectiveTerms usual) {
        return new ObjectiveTerms(0, target(node, name, usual));
    }

    private static double target(SettingsNode node, String name, ObjectiveTerms usual) {
        return node.optionalDouble(name + "_target", usual.target(), LEAST_TARGET, MOST_TARGET);
    }
}
