package org.hornbeampass.router.flow;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import java.util.stream.LongStream;

/** Checks the invariants of a non-repeatable call under failures in any order. */
class ServiceFlowProperties {
    @Property(seed = "7042", tries = 5_000)
    void callRunsAtMostOnce_andNotRunIsReportedOnlyIfItDidNotRun(@ForAll long seed) {
        assertThat(new ServiceFlowSimulation(seed, false).run()).isEmpty();
    }

    @Example
    void resendingNonRepeatableCall_isDetected() {
        long found =
                LongStream.range(0, 2_000)
                        .filter(seed -> !new ServiceFlowSimulation(seed, true).run().isEmpty())
                        .count();
        assertThat(found).isPositive();
    }
}
