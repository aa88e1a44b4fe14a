package org.hornbeampass.coordination.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against crashing requests that keep running, and against harmless requests that are
 * quarantined in their place.
 */
class CrashingRequestModelTest {
    private static final long SIMULATED_MS = 60_000;
    private static final int SEEDS = 20;

    /** The time allowed for each crashing request until its last crash, in milliseconds. */
    private static final long DETECTION_MS = 3_000;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void crashingRequests_areQuarantinedAndOthersServed(int crashing) {
        double refused = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashingRequestModel model = new CrashingRequestModel(seed, crashing);
            model.simulate(SIMULATED_MS);
            assertThat(model.crashes()).isGreaterThanOrEqualTo(3);
            assertThat(model.lastCrashMs()).isLessThan(DETECTION_MS * crashing);
            refused += model.harmlessRefusedShare() / SEEDS;
        }
        assertThat(refused).isLessThan(0.001);
    }
}
