package org.hornbeampass.coordination.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Generates schedules from seeds, and runs a range of seeds from the command line.
 *
 * <p>Stateless and thread-safe.
 */
final class BudgetSchedules {
    /** The step kinds, each repeated as often as its weight. */
    static final List<ScheduleStep.Kind> KINDS = weighted();

    private static final int MIN_STEPS = 10;
    private static final int MAX_STEPS = 60;

    private BudgetSchedules() {}

    private static List<ScheduleStep.Kind> weighted() {
        List<ScheduleStep.Kind> kinds = new ArrayList<>();
        for (ScheduleStep.Kind kind : ScheduleStep.Kind.values()) {
            kinds.addAll(Collections.nCopies(kind.weight(), kind));
        }
        return List.copyOf(kinds);
    }

    /** Returns the schedule generated from a seed. */
    static List<ScheduleStep> of(long seed) {
        Random random = new Random(seed);
        List<ScheduleStep> steps = new ArrayList<>();
        int count = MIN_STEPS + random.nextInt(MAX_STEPS - MIN_STEPS + 1);
        for (int i = 0; i < count; i++) {
            ScheduleStep.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
            steps.add(new ScheduleStep(kind, random.nextInt(21), random.nextInt(1_000)));
        }
        return steps;
    }

    /**
     * Returns a run for the schedule of a seed, not started. Every second seed has a single home.
     */
    static ScheduleRun run(long seed, BudgetMutant mutant) {
        return new ScheduleRun(seed % 2 == 0 ? 3 : 1, mutant, seed);
    }

    /**
     * Runs the schedules of all seeds from the first argument (inclusive) to the second
     * (exclusive).
     */
    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        long to = Long.parseLong(args[1]);
        long failed = 0;
        long spent = 0;
        for (long seed = from; seed < to; seed++) {
            ScheduleRun run = run(seed, BudgetMutant.NONE);
            List<BudgetInvariant> violated = run.run(of(seed));
            spent += run.spentTokens();
            if (!violated.isEmpty()) {
                failed++;
                System.out.println("seed " + seed + " breaks " + violated + ": " + run);
            }
        }
        System.out.println(
                (to - from) + " schedules, " + failed + " broken, " + spent + " tokens spent");
        if (failed > 0) {
            System.exit(1);
        }
    }
}
