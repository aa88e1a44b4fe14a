package org.hornbeampass.coordination.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import java.util.List;

/** Checks the invariants of membership, addresses and configuration under random schedules. */
class FleetProperties {
    @Property(seed = "20261202", tries = 150, edgeCases = EdgeCasesMode.NONE)
    void invariants_hold(@ForAll("schedules") List<FleetStep> steps, @ForAll long seed) {
        assertThat(new FleetRun(FleetMutant.NONE, seed).run(steps)).isEmpty();
    }

    @Provide
    Arbitrary<List<FleetStep>> schedules() {
        Arbitrary<FleetStep> steps =
                Combinators.combine(
                                Arbitraries.of(FleetStep.Kind.values()),
                                Arbitraries.integers().between(0, FleetRun.VMS - 1),
                                Arbitraries.integers().between(0, 15_000))
                        .as(FleetStep::new);
        return steps.list().ofMinSize(5).ofMaxSize(30);
    }
}
