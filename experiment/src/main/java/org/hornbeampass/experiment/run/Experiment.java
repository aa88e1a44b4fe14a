package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.FleetSpec;
import org.hornbeampass.experiment.load.OrganisationPlan;

import java.util.List;

/**
 * What an experiment file says.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param seed the seed of its arrivals
 * @param durationMs for how long requests are sent, in milliseconds
 * @param drainMs how long the last requests may take after that, in milliseconds
 * @param fleet the fleet
 * @param organisations who sends what
 * @param timeline the faults and operators' actions in the order of time
 */
public record Experiment(
        String name,
        long seed,
        long durationMs,
        long drainMs,
        FleetSpec fleet,
        List<OrganisationPlan> organisations,
        List<FaultStep> timeline) {
    /** Copies the lists. */
    public Experiment {
        organisations = List.copyOf(organisations);
        timeline = List.copyOf(timeline);
    }
}
