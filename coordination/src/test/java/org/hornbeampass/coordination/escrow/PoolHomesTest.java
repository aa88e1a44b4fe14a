package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.escrow.EscrowSimulation.Faults;
import org.hornbeampass.coordination.escrow.EscrowSimulation.Result;
import org.hornbeampass.coordination.escrow.EscrowSimulation.Size;
import org.junit.jupiter.api.Test;

import java.util.List;

/**
 * Tests the calls to the store and the served requests of about a hundred VMs, a few of which
 * exchange with the store on behalf of all.
 *
 * <p>The bounds are about one and a half times the results of the seed. The results for fleets in
 * which each VM exchanges come from another draw of the same load, without pauses after write
 * conflicts.
 */
class PoolHomesTest {
    private static final long SEED = 0;
    private static final int VMS = 95;
    private static final int ORGANISATIONS = 40;
    private static final Size FLEET = new Size(VMS, ORGANISATIONS, false);
    private static final Faults NONE = new Faults(List.of(), List.of());
    private static final List<long[]> OUTAGE_SPANS =
            List.of(new long[] {6_000, 14_000}, new long[] {24_000, 31_000});
    private static final Faults OUTAGES_AND_KILL = new Faults(OUTAGE_SPANS, List.of(34_000L));
    private static final Faults ALL = new Faults(OUTAGE_SPANS, List.of(17_000L, 34_000L));

    private static Result simulate(SimulatedLoad load, Faults faults, Size size) {
        return EscrowSimulation.simulate(SEED, load, GrantPolicy.DEMAND_HORIZON, faults, size);
    }

    @Test
    void manyVmsWithoutFaults_callsDoNotGrowWithVms() {
        // About 1,022 calls and 0.00 % refused; 99,930 and 6.98 % if each VM exchanges.
        Result homes = simulate(SimulatedLoad.MIXED_PROMPTS, NONE, FLEET);
        assertThat(homes.calls()).isLessThan(1_600);
        assertThat(homes.refusedFraction()).isLessThan(0.002);
    }

    @Test
    void outagesAndKillsOfManyVms_causeNoStormOfCalls() {
        // About 1,804 calls; 67,170 if any VM that is asked for tokens becomes a home and
        // conflicting writes are retried at once.
        Result homes = simulate(SimulatedLoad.MIXED_PROMPTS, ALL, FLEET);
        assertThat(homes.calls()).isLessThan(2_700);
        assertThat(homes.overspent()).isFalse();
    }

    @Test
    void longPromptsOnManyVms_areServedDespiteOutagesAndKillOfAllVms() {
        // 70.8 % if each VM exchanges, since a fair share of a budget is less than one request.
        Result homes = simulate(SimulatedLoad.LONG_PROMPTS, OUTAGES_AND_KILL, FLEET);
        assertThat(homes.servedWorth()).isGreaterThan(0.82);
        assertThat(homes.overspent()).isFalse();
    }
}
