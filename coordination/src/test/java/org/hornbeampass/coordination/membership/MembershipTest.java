package org.hornbeampass.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.testing.FakeFleet;
import org.hornbeampass.testing.FakeRouter;
import org.junit.jupiter.api.Test;

/** Tests {@link Membership}. */
class MembershipTest {
    private static final long DETECTION_MS = 12_000;

    @Test
    void start_everyVmSeesAllOthersLive() {
        FakeFleet fleet = FakeFleet.started(1, 24, 3, 2);

        for (FakeRouter router : fleet.running()) {
            assertThat(router.membership().view().live()).hasSize(24);
        }
    }

    @Test
    void stoppedVm_isGoneEverywhereWithinDetectionTime() {
        FakeFleet fleet = FakeFleet.started(2, 24, 3, 2);

        fleet.kill("vm-5");
        fleet.runFor(DETECTION_MS);

        assertStateEverywhere(fleet, "vm-5", MemberState.GONE);
        assertThat(fleet.router("vm-0").membership().view().live()).hasSize(23);
    }

    @Test
    void leavingVm_isLeavingEverywhereWithinTwoSeconds() {
        FakeFleet fleet = FakeFleet.started(3, 24, 3, 2);

        fleet.router("vm-7").membership().leave(fleet.nowMs());
        fleet.runFor(2_000);

        assertStateEverywhere(fleet, "vm-7", MemberState.LEAVING);
    }

    @Test
    void restart_provesPreviousIncarnationGone_andIsLive() {
        FakeFleet fleet = FakeFleet.started(4, 9);

        fleet.start("vm-4");
        fleet.runFor(DETECTION_MS);

        assertStateEverywhere(fleet, "vm-4", MemberState.LIVE);
        assertThat(fleet.router("vm-0").membership().isProvedGone(new VmId("vm-4", 1))).isTrue();
        assertThat(fleet.router("vm-0").membership().isProvedGone(new VmId("vm-4", 2))).isFalse();
        assertThat(fleet.router("vm-0").provedGone()).containsExactly(new VmId("vm-4", 1));
    }

    @Test
    void pausedVm_afterResume_isLiveInTheSameIncarnation() {
        FakeFleet fleet = FakeFleet.started(5, 9);

        fleet.pause("vm-2");
        fleet.runFor(60_000);
        assertStateEverywhere(fleet, "vm-2", MemberState.GONE);
        fleet.resume("vm-2");
        fleet.runFor(30_000);

        assertStateEverywhere(fleet, "vm-2", MemberState.LIVE);
        assertThat(fleet.router("vm-0").provedGone()).isEmpty();
        assertThat(fleet.router("vm-2").membership().view().live()).hasSize(9);
    }

    @Test
    void partitionedRegions_reconnectAfterThePartition() {
        FakeFleet fleet = FakeFleet.started(6, 18, 3, 2);

        fleet.isolate(m -> m.region().value().equals("r0"));
        fleet.runFor(600_000);
        assertThat(fleet.router("vm-0").membership().view().live()).hasSize(6);
        assertThat(fleet.router("vm-1").membership().view().live()).hasSize(12);
        fleet.network().healAll();
        fleet.runFor(60_000);

        for (FakeRouter router : fleet.running()) {
            assertThat(router.membership().view().live()).hasSize(18);
            assertThat(router.provedGone()).isEmpty();
        }
    }

    private static void assertStateEverywhere(FakeFleet fleet, String name, MemberState state) {
        for (FakeRouter router : fleet.running()) {
            if (!fleet.isPaused(router.vm().name())) {
                assertThat(router.stateOf(name)).as("at " + router.vm()).isEqualTo(state);
            }
        }
    }
}
