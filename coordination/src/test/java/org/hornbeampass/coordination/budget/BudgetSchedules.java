package org.hornbeampass.coordination.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Draws schedules from seeds, and runs many of them as a command.
 *
 * <p>Stateless and thread-safe.
 */
final class BudgetSchedules {
    /** The kinds of step, each as often as its weight. */
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

    /** Returns the schedule of a seed. */
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

    /** Returns the run of a seed's schedule, not yet begun; every second one has a single home. */
    static ScheduleRun run(long seed, BudgetMutant mutant) {
        return new ScheduleRun(seed % 2 == 0 ? 3 : 1, mutant, seed);
    }

    /** Runs the schedules of the seeds from the first argument up to, not including, the second. */
    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        long to = Long.parseLong(args[1]);
        long broken = 0;
        long spent = 0;
        for (long seed = from; seed < to; seed++) {
            ScheduleRun run = run(seed, BudgetMutant.NONE);
            List<BudgetInvariant> found = run.run(of(seed));
            spent += run.spentTokens();
            if (!found.isEmpty()) {
                broken++;
                System.out.println("seed " + seed + " breaks " + found + ": " + run);
            }
        }
        System.out.println(
                (to - from) + " schedules, " + broken + " broken, " + spent + " tokens spent");
        if (broken > 0) {
            System.exit(1);
        }
    }
}
