package org.hornbeampass.coordination.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that crashing requests are found soon, and that few others are taken for them. */
class CrashingRequestModelTest {
    private static final long SIMULATED_MS = 60_000;
    private static final int SEEDS = 20;

    /** Within this time, in milliseconds, from the first crash on a crashing request is known. */
    private static final long DETECTION_MS = 3_000;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void crashingRequests_areFoundAndTheOthersServed(int crashing) {
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
