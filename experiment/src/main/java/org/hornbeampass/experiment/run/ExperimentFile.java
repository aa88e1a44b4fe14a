package org.hornbeampass.experiment.run;

import io.vavr.control.Either;

import org.hornbeampass.experiment.fleet.FleetSpec;
import org.hornbeampass.experiment.load.DemandCurve;
import org.hornbeampass.experiment.load.DemandPoint;
import org.hornbeampass.experiment.load.OrganisationPlan;
import org.hornbeampass.experiment.load.RequestShape;
import org.hornbeampass.experiment.verdict.RequestKind;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.protocol.settings.SettingsNode;
import org.hornbeampass.protocol.settings.SettingsReader;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.config.BudgetPreference;

import java.util.Comparator;
import java.util.List;

/**
 * Reads an experiment from JSON with comments; docs/EXPERIMENTS.md lists every field.
 *
 * <p>All faults are reported at once, each with its place and its mend. Stateless; safe for use by
 * any thread.
 */
public final class ExperimentFile {
    private static final long HOUR_MS = 3_600_000;
    private static final int MAX_COUNT = 64;
    private static final double MAX_RATE = 10_000;
    private static final int MAX_TOKENS = 100_000;

    private ExperimentFile() {}

    /**
     * Reads a text.
     *
     * @param source its name in messages
     * @param text the experiment
     */
    public static Either<Faults, Experiment> read(String source, String text) {
        return SettingsReader.read(source, text, ExperimentFile::experiment);
    }

    private static Experiment experiment(SettingsNode node) {
        FleetSpec fleet = fleet(node.requiredNode("fleet"));
        List<OrganisationPlan> organisations =
                node.requiredNode("organisations").entries(ExperimentFile::organisation);
        return new Experiment(
                node.requiredString("name"),
                node.optionalLong("seed", 1, 0, Long.MAX_VALUE),
                node.requiredDuration("duration", 1, HOUR_MS),
                node.optionalDuration("drain", 30_000, 1, HOUR_MS),
                fleet,
                organisations,
                node.list("timeline", step -> step(step, fleet, organisations)).stream()
                        .sorted(Comparator.comparingLong(FaultStep::atMs))
                        .toList());
    }

    private static FleetSpec fleet(SettingsNode node) {
        List<FailureDomain> domains =
                node.optionalStrings("domains").stream().map(FailureDomain::new).toList();
        if (domains.isEmpty()) {
            node.fault("domains", "it is missing or empty", "name at least one failure domain");
        }
        return new FleetSpec(
                new Region(node.requiredString("region")),
                domains,
                (int) node.requiredLong("routers", 1, MAX_COUNT),
                node.requiredString("model"),
                (int) node.requiredLong("engines", 1, MAX_COUNT),
                node.requiredString("service"),
                (int) node.requiredLong("services", 1, MAX_COUNT),
                node.optionalDouble("step_ms", 4, 0.1, 1_000));
    }

    private static OrganisationPlan organisation(SettingsNode node) {
        List<DemandPoint> points = node.list("demand", ExperimentFile::point);
        if (points.isEmpty()) {
            node.fault("demand", "it is missing or empty", "give at least one point");
        }
        List<RequestShape> mix = node.list("mix", ExperimentFile::shape);
        if (mix.isEmpty()) {
            node.fault("mix", "it is missing or empty", "give at least one kind of request");
        }
        return new OrganisationPlan(
                node.name(),
                node.requiredLong("paid_tokens", 1, BudgetRecord.MAX_TOKENS),
                node.optionalEnum("preference", BudgetPreference.AVOID_STRANDING),
                node.optionalInt("priority", 5, 0, 9),
                new DemandCurve(points.isEmpty() ? List.of(new DemandPoint(0, 0)) : points),
                mix);
    }

    private static DemandPoint point(SettingsNode node) {
        return new DemandPoint(
                node.optionalDuration("at", 0, 0, HOUR_MS),
                node.optionalDouble("per_second", 0, 0, MAX_RATE));
    }

    private static RequestShape shape(SettingsNode node) {
        int tokens = node.optionalInt("tokens", 1, 1, MAX_TOKENS);
        return new RequestShape(
                node.requiredEnum("kind", RequestKind.class),
                node.optionalDouble("weight", 1, 0, 1_000),
                tokens,
                node.optionalInt("limit", 2 * tokens, 1, MAX_TOKENS),
                node.optionalInt("prompt_words", 0, 0, 10_000),
                node.optionalBoolean("stream", true));
    }

    private static FaultStep step(
            SettingsNode node, FleetSpec fleet, List<OrganisationPlan> organisations) {
        FaultStep step =
                new FaultStep(
                        node.requiredDuration("at", 0, HOUR_MS),
                        node.optionalDuration("for", 0, 0, HOUR_MS),
                        node.requiredEnum("fault", FaultKind.class),
                        node.optionalStrings("targets"),
                        node.optionalStrings("others"),
                        node.optionalEnum("direction", FaultStep.Direction.BOTH),
                        node.optionalString("organisation", ""),
                        node.optionalDouble("amount", 1, 0, 1e15));
        TimelineCheck.check(node, step, fleet, organisations);
        return step;
    }
}
