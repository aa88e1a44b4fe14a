package org.hornbeampass.coordination.news;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.function.Predicate;

/**
 * Guards against changes that no VM learns of because the platform, restored from an older copy,
 * gives them versions that it had given out before.
 */
class RestoredViewsTest {
    private static final long SETTLE_MS = 5_000;

    /** The shortest time within which operators expect a change to be in force. */
    private static final long IN_FORCE_MS = 2_000;

    private static final int FORGOTTEN_CHANGES = 40;

    /** Time after which the writer of a lost entry writes it again, in milliseconds. */
    private static final long REWRITTEN_AFTER_MS = 2_000;

    /** The calls of a VM that watches: failed and repeated watches, and two listings. */
    private static final long CALLS_A_VM = 6;

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

    private static List<String> names(ViewFeedFleet fleet, Predicate<ViewFeedFleet.Vm> condition) {
        return fleet.vms().stream().filter(condition).map(ViewFeedFleet.Vm::name).toList();
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
    @ValueSource(ints = {1, 8, 95})
    void entryThatTheCopyLacks_staysWhileItsWriterMayWriteItAgain(int vms) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, 1);
        fleet.write("kept", "ready");
        MemoryPlatform.Copy copy = fleet.copy();
        fleet.write("rewritten", "ready");
        fleet.write("ended", "ready");
        fleet.run(SETTLE_MS);
        fleet.restore(copy);
        fleet.run(REWRITTEN_AFTER_MS);
        assertThat(names(fleet, vm -> !(vm.knows("rewritten") && vm.knows("ended")))).isEmpty();
        fleet.write("rewritten", "ready");
        fleet.run(SETTLE_MS);
        assertThat(names(fleet, vm -> !vm.knows("rewritten"))).isEmpty();
        assertThat(names(fleet, vm -> vm.sawRemoval("rewritten"))).isEmpty();
        assertThat(names(fleet, vm -> vm.knows("ended"))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 95})
    void entryThatWasRemoved_staysRemovedUntilItIsWrittenAgain(int vms) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, 1);
        fleet.write("removed", "ready");
        fleet.write("expired", "ready");
        fleet.run(SETTLE_MS);
        MemoryPlatform.Copy copy = fleet.copy();
        fleet.remove("removed");
        fleet.remove("expired");
        fleet.run(SETTLE_MS);
        fleet.restore(copy);
        fleet.run(SETTLE_MS);
        assertThat(names(fleet, vm -> vm.knows("removed") || vm.knows("expired"))).isEmpty();
        fleet.remove("expired");
        assertAllLearn(fleet, "removed");
        fleet.run(3 * SETTLE_MS);
        assertThat(names(fleet, vm -> !vm.knows("removed"))).isEmpty();
        assertThat(names(fleet, vm -> vm.knows("expired"))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 95})
    void secondRestorationRightAfterTheFirst_leavesNoVmBehind(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = restoredFleet(vms, seed);
            MemoryPlatform.Copy copy = fleet.copy();
            fleet.write("kept", "ready again");
            fleet.run(fleet.random().nextLong(500));
            fleet.restore(copy);
            assertAllLearn(fleet, "kept");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 95})
    void vmThatThePlatformTurnsAway_hearsOfTheRestorationFromOthers(int vms) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, 1);
        fleet.write("kept", "ready");
        MemoryPlatform.Copy copy = fleet.copy();
        fleet.write("kept", "ready, forgotten");
        fleet.run(SETTLE_MS);
        fleet.turnAway(fleet.firstOfEachDomain().get(0), false);
        fleet.restore(copy);
        fleet.run(SETTLE_MS);
        assertAllLearn(fleet, "kept");
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void restoration_costsAFewCallsOfEachVm(int vms) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, 1);
        fleet.write("kept", "ready");
        MemoryPlatform.Copy copy = fleet.copy();
        fleet.write("kept", "ready, forgotten");
        fleet.run(SETTLE_MS);
        long before = fleet.calls();
        fleet.restore(copy);
        fleet.run(IN_FORCE_MS);
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(CALLS_A_VM * vms);
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
