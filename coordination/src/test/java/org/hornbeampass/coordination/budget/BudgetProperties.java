package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import java.util.List;

/**
 * Checks the invariants of the budgets over random schedules of requests, faults and operators'
 * commands.
 *
 * <p>The number of schedules is jqwik's default; {@code -Djqwik.tries.default=1000000} runs more.
 */
class BudgetProperties {
    @Property(seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void invariants_hold_ifAllVmsAreHomes(
            @ForAll("schedules") List<ScheduleStep> steps, @ForAll long latencySeed) {
        ScheduleRun run = new ScheduleRun(3, BudgetMutant.NONE, latencySeed);
        assertThat(run.run(steps)).as(run::toString).isEmpty();
    }

    @Property(seed = "20261203", edgeCases = EdgeCasesMode.NONE)
    void invariants_hold_ifOneVmIsTheHome(
            @ForAll("schedules") List<ScheduleStep> steps, @ForAll long latencySeed) {
        ScheduleRun run = new ScheduleRun(1, BudgetMutant.NONE, latencySeed);
        assertThat(run.run(steps)).as(run::toString).isEmpty();
    }

    @Provide
    Arbitrary<List<ScheduleStep>> schedules() {
        return steps().list().ofMinSize(10).ofMaxSize(60);
    }

    private static Arbitrary<ScheduleStep> steps() {
        Arbitrary<ScheduleStep.Kind> kinds = Arbitraries.of(BudgetSchedules.KINDS);
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(0, 999))
                .as(ScheduleStep::new);
    }
}
