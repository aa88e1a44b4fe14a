package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.FleetSpec;
import org.hornbeampass.experiment.load.OrganisationPlan;
import org.hornbeampass.protocol.settings.SettingsNode;

import java.util.List;

/**
 * Checks that a step of the timeline names what is there.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class TimelineCheck {
    private TimelineCheck() {}

    static void check(
            SettingsNode node,
            FaultStep step,
            FleetSpec fleet,
            List<OrganisationPlan> organisations) {
        switch (step.kind()) {
            case PARTITION, PLATFORM_CUT, ROUTER_CRASH, ROLLING_RESTART, ROUTER_PAUSE ->
                    names(node, "targets", step.targets(), "vm-", fleet.routers());
            case PEERS_CUT -> {
                names(node, "targets", step.targets(), "vm-", fleet.routers());
                if (!step.others().isEmpty()) {
                    names(node, "others", step.others(), "vm-", fleet.routers());
                }
            }
            case ENGINE_FREEZE, ENGINE_ERROR, ENGINE_LEAVING ->
                    names(node, "targets", step.targets(), "engine-", fleet.engines());
            case DOMAIN_LOST -> domains(node, step, fleet);
            case TOP_UP, LOWER_LIMIT -> organisation(node, step, organisations);
            default -> {
                // Takes no names.
            }
        }
    }

    private static void names(
            SettingsNode node, String field, List<String> names, String prefix, int count) {
        String remedy = "use " + prefix + "0 to " + prefix + (count - 1);
        if (names.isEmpty()) {
            node.fault(field, "it is missing or empty", remedy);
        }
        for (String name : names) {
            boolean known = name.matches(prefix + "\\d{1,3}") && FaultContext.place(name) < count;
            if (!known) {
                node.fault(field, "there is no " + name, remedy);
            }
        }
    }

    private static void domains(SettingsNode node, FaultStep step, FleetSpec fleet) {
        for (String name : step.targets()) {
            if (fleet.domains().stream().noneMatch(d -> d.value().equals(name))) {
                node.fault("targets", "there is no " + name, "use one of fleet.domains");
            }
        }
        if (step.targets().isEmpty()) {
            node.fault("targets", "it is missing or empty", "use one of fleet.domains");
        }
    }

    private static void organisation(
            SettingsNode node, FaultStep step, List<OrganisationPlan> organisations) {
        if (organisations.stream().noneMatch(o -> o.name().equals(step.organisation()))) {
            node.fault(
                    "organisation",
                    "there is no \"" + step.organisation() + "\"",
                    "use the name of one of the organisations");
        }
    }
}
