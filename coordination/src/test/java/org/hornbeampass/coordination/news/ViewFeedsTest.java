package org.hornbeampass.coordination.news;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Guards against calls to the platform that grow with the number of VMs, and against VMs that learn
 * of a change too late because the VM that watches for them has failed.
 */
class ViewFeedsTest {
    private static final long SETTLE_MS = 5_000;
    private static final long CHANGES_MS = 20_000;
    private static final int CHANGES = 200;

    /** How many VMs of a large fleet in three failure domains watch. */
    private static final int WATCHERS = 9;

    /** The share of the VMs that lose their replies together. */
    private static final double SILENT_SHARE = 0.38;

    /** The shortest time within which operators expect a change to be in force. */
    private static final long IN_FORCE_MS = 2_000;

    /** The time for which a watch waits, added to the time to replace its VM. */
    private static final long SILENT_WATCH_MS = IN_FORCE_MS + 2_500;

    private static ViewFeedFleet fleet(int vms, long seed) {
        ViewFeedFleet fleet = new ViewFeedFleet(vms, seed);
        fleet.write("first", "ready");
        fleet.run(SETTLE_MS);
        return fleet;
    }

    private static void assertAllLearn(ViewFeedFleet fleet, String upstream, long withinMs) {
        long fromMs = fleet.nowMs();
        fleet.write(upstream, "draining");
        fleet.run(withinMs);
        for (ViewFeedFleet.Vm vm : fleet.vms()) {
            assertThat(vm.learnedMs(upstream)).as(vm.name()).isBetween(fromMs, fromMs + withinMs);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 77, 390})
    void callsGrowWithChanges_notWithVms(int vms) {
        ViewFeedFleet fleet = fleet(vms, 1);
        assertThat(fleet.watching()).hasSize(Math.min(vms, WATCHERS));
        long callsBefore = fleet.calls();
        for (int i = 0; i < CHANGES; i++) {
            fleet.write("u" + i % 40, "state " + i);
            fleet.run(CHANGES_MS / CHANGES);
        }
        assertThat(fleet.calls() - callsBefore)
                .isLessThanOrEqualTo(WATCHERS * (CHANGES_MS / 150 + CHANGES_MS / 2_000 + 1));
        assertAllLearn(fleet, "last", 600);
    }

    @ParameterizedTest
    @ValueSource(ints = {24, 77, 390})
    void changeRightAfterTheWatchersAreKilled_isLearnedInTime(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            fleet.run(fleet.random().nextLong(300));
            List<ViewFeedFleet.Vm> watchers = fleet.watching();
            watchers.forEach(w -> fleet.kill(w.name()));
            assertAllLearn(fleet, "u", IN_FORCE_MS);
            watchers.forEach(w -> fleet.forget(w.name()));
            fleet.run(SETTLE_MS);
            assertThat(fleet.watching()).hasSize(Math.min(vms, WATCHERS));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {24, 77})
    void watchersThatThePlatformTurnsAway_areReplacedInTime(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            fleet.watching().forEach(w -> fleet.turnAway(w, false));
            fleet.run(fleet.random().nextLong(300));
            assertAllLearn(fleet, "u", IN_FORCE_MS);
            fleet.serveAll();
            fleet.run(SETTLE_MS);
            assertThat(fleet.watching()).hasSize(Math.min(vms, WATCHERS));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 77, 390})
    void firstWatcherOfEachDomainWithoutReplies_leavesNoVmBehind(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            fleet.firstOfEachDomain().forEach(w -> fleet.turnAway(w, true));
            fleet.run(fleet.random().nextLong(300));
            assertAllLearn(fleet, "u", IN_FORCE_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 77, 390})
    void manyVmsWithoutReplies_leaveNoneBehind(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            List<ViewFeedFleet.Vm> silent = new ArrayList<>(fleet.vms());
            Collections.shuffle(silent, fleet.random());
            silent.subList(0, (int) (SILENT_SHARE * vms)).forEach(v -> fleet.turnAway(v, true));
            fleet.run(fleet.random().nextLong(300));
            assertAllLearn(fleet, "u", IN_FORCE_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {24, 77})
    void watchersOfAllDomainsWithoutReplies_areReplacedAfterTheirWatchTime(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            fleet.watching().forEach(w -> fleet.turnAway(w, true));
            fleet.run(fleet.random().nextLong(300));
            assertAllLearn(fleet, "u", SILENT_WATCH_MS);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {24, 77})
    void watchersThatAreCutOffFromOtherVms_areReplacedInTime(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            ViewFeedFleet fleet = fleet(vms, seed);
            fleet.watching().forEach(w -> fleet.cutOff(w.name(), true));
            fleet.run(fleet.random().nextLong(300));
            assertAllLearn(fleet, "u", IN_FORCE_MS);
            fleet.vms().forEach(v -> fleet.cutOff(v.name(), false));
            fleet.run(SETTLE_MS);
            assertThat(fleet.watching()).hasSize(Math.min(vms, WATCHERS));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 77})
    void lostFeeds_areMadeUpFor(int vms) {
        ViewFeedFleet fleet = fleet(vms, 1);
        fleet.loseMessages(0.2);
        for (int i = 0; i < 20; i++) {
            assertAllLearn(fleet, "u" + i, IN_FORCE_MS);
        }
    }
}
