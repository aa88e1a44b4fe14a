package org.hornbeampass.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates schedules from a seed, for the mutants. */
final class FleetSchedules {
    private static final int STEPS = 20;

    private FleetSchedules() {}

    static List<FleetStep> of(long seed) {
        Random random = new Random(seed);
        FleetStep.Kind[] kinds = FleetStep.Kind.values();
        List<FleetStep> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            steps.add(
                    new FleetStep(
                            kinds[random.nextInt(kinds.length)],
                            random.nextInt(FleetRun.VMS),
                            random.nextInt(15_000)));
        }
        return steps;
    }
}
