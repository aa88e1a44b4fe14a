package org.hornbeampass.coordination.news;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against changes that no VM learns of because the platform, restored from an older copy,
 * gives them versions that it had given out before.
 */
class RestoredViewsTest {
    private static final long SETTLE_MS = 5_000;

    /** The shortest time within which operators expect a change to be in force. */
    private static final long IN_FORCE_MS = 2_000;

    private static final int FORGOTTEN_CHANGES = 40;

    /** Starts a fleet that knows changes which the platform then forgets. */
    private static ViewFeedFleet restoredFleet(int vms, long seed) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, seed);
        fleet.write("kept", "ready");
        fleet.run(SETTLE_MS);
        MemoryPlatform.Copy copy = fleet.copy();
        for (int i = 0; i < FORGOTTEN_CHANGES; i++) {
            fleet.write("kept", "ready " + i);
        }
        fleet.run(SETTLE_MS);
        fleet.restore(copy);
        fleet.run(fleet.random().nextLong(1_000));
        return fleet;
    }

    private static void assertAllLearn(ViewFeedFleet fleet, String upstream) {
        long fromMs = fleet.nowMs();
        fleet.write(upstream, "draining");
        fleet.run(IN_FORCE_MS);
        for (ViewFeedFleet.Vm vm : fleet.vms()) {
            assertThat(vm.learnedMs(upstream))
                    .as(vm.name())
                    .isBetween(fromMs, fromMs + IN_FORCE_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8, 24, 95})
    void changeAtAReusedVersion_isLearnedByAllInTime(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = restoredFleet(vms, seed);
            assertAllLearn(fleet, "kept");
            assertAllLearn(fleet, "added");
        }
    }
}
