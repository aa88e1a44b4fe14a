package org.hornbeampass.coordination.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;

/** Checks that a whole fleet keeps a request from upstreams, and lets it go, at the same time. */
class QuarantineTest {
    /** Within this time, in milliseconds, all VMs that can be reached must know a verdict. */
    private static final long BOUND_MS = 3_000;

    private static final RequestDigest CRASHING = new RequestDigest(1, 1);

    private static final RequestDigest INNOCENT = new RequestDigest(2, 2);

    private static void crashThree(QuarantineFleet fleet) {
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.crash("vm-2", "i-2", CRASHING);
        fleet.crash("vm-3", "i-3", CRASHING);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 8, 95})
    void crashesSeenByDifferentVms_addUpAtAll(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        crashThree(fleet);
        fleet.run(1_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
        assertThat(fleet.recorded(CRASHING)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void oneCrashThatManyTell_countsOnce(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        for (int i = 0; i < vms; i++) {
            fleet.crash("vm-" + i, "i-1", CRASHING);
        }
        fleet.run(5_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isZero();
        assertThat(fleet.standing("vm-0", CRASHING)).isEqualTo(RequestStanding.SUSPECTED);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void lostMessages_delayAVerdictByLittle(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.loseMessages(0.2);
        crashThree(fleet);
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
    }

    @Test
    void relayThatDiesWithTheNews_isReplaced() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        crashThree(fleet);
        for (int i = 10; i < 20; i++) {
            fleet.kill("vm-" + i);
        }
        fleet.run(1_000);
        for (int i = 10; i < 20; i++) {
            fleet.forget("vm-" + i);
        }
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(85);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void vmThatWasCutOff_learnsAfterwards(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.cutOff("vm-7", true);
        crashThree(fleet);
        fleet.run(10_000);
        assertThat(fleet.standing("vm-7", CRASHING)).isEqualTo(RequestStanding.UNSUSPECTED);
        fleet.cutOff("vm-7", false);
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void allVmsKilledAtOnce_learnFromTheStore(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        crashThree(fleet);
        fleet.run(1_000);
        fleet.restartAll();
        fleet.run(1_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void verdictOfAFleetKilledSoonAfter_isNotLostWithItsKeepersStore(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        fleet.cutFromStore(fleet.keeper());
        crashThree(fleet);
        fleet.run(1_800);
        assertThat(fleet.recorded(CRASHING)).isTrue();
        fleet.restartAll();
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
    }

    @Test
    void writeThatGetsNoAnswer_holdsUpNoOther() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        fleet.run(1_000);
        fleet.leaveUnanswered(1);
        crashThree(fleet);
        fleet.run(200);
        RequestDigest second = new RequestDigest(3, 3);
        for (int i = 4; i <= 6; i++) {
            fleet.crash("vm-1", "i-" + i, second);
        }
        fleet.run(500);
        assertThat(fleet.recorded(second)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void newVmWhileTheStoreIsAway_learnsFromTheOthers(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        crashThree(fleet);
        fleet.run(1_000);
        fleet.setStoreAway(true);
        fleet.start("vm-new", 2);
        fleet.run(BOUND_MS);
        assertThat(fleet.standing("vm-new", CRASHING)).isEqualTo(RequestStanding.QUARANTINED);
    }

    @Test
    void verdictWhileTheStoreIsAway_isRecordedLater() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        fleet.run(1_000);
        fleet.setStoreAway(true);
        crashThree(fleet);
        fleet.run(20_000);
        fleet.setStoreAway(false);
        fleet.run(2_000);
        assertThat(fleet.recorded(CRASHING)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void wholeAnswerAnywhere_clearsTheRequestEverywhere(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.crash("vm-2", "i-2", CRASHING);
        fleet.run(1_000);
        fleet.answer("vm-5", CRASHING);
        fleet.run(1_000);
        fleet.crash("vm-3", "i-3", CRASHING);
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(CRASHING)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void recordDeletedByOperators_liftsTheQuarantineEverywhere(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        crashThree(fleet);
        fleet.run(12_000);
        fleet.deleteRecord(CRASHING);
        fleet.run(12_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isZero();
        fleet.start("vm-late", 1);
        fleet.run(5_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void quarantine_endsEverywhereAndLeavesNoRecord(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        crashThree(fleet);
        fleet.run(SuspectTable.KEPT_MS - 10_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms);
        fleet.run(60_000);
        assertThat(fleet.quarantinedAt(CRASHING)).isZero();
        assertThat(fleet.recorded(CRASHING)).isFalse();
    }

    private static QuarantineFleet interruptedTogether(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        for (int i = 1; i <= 3; i++) {
            fleet.crash("vm-" + i, "i-" + i, CRASHING, INNOCENT);
        }
        fleet.run(BOUND_MS);
        assertThat(fleet.quarantinedAt(INNOCENT)).isEqualTo(vms);
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 95})
    void requestThatAlwaysRanBesideACrashingOne_isClearedByItsTrial(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms + 1);
        List<String> trials = fleet.takeTrials(INNOCENT);
        assertThat(trials).hasSize(1);
        fleet.answer(trials.get(0), INNOCENT);
        fleet.run(1_000);
        assertThat(fleet.quarantinedAt(INNOCENT)).isZero();
        assertThat(fleet.quarantinedAt(CRASHING)).isEqualTo(vms + 1);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialOfTheCrashingRequest_releasesTheOthers(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        List<String> trials = fleet.takeTrials(CRASHING);
        assertThat(trials).hasSize(1);
        fleet.crash(trials.get(0), "i-4", CRASHING);
        fleet.endTrial(trials.get(0), CRASHING);
        fleet.run(SuspectTable.TRIAL_AFTER_MS);
        assertThat(fleet.quarantinedAt(INNOCENT)).isZero();
        assertThat(fleet.takeTrials(CRASHING)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialsOfRequestsWithTheSameCrashes_areNeverRunAtTheSameTime(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        List<String> trials = fleet.takeTrials(INNOCENT);
        assertThat(trials).hasSize(1);
        fleet.run(60_000);
        assertThat(fleet.takeTrials(CRASHING)).isEmpty();
        fleet.endTrial(trials.get(0), INNOCENT);
        assertThat(fleet.takeTrials(CRASHING)).hasSize(1);
    }

    @Test
    void trialThatToldNothing_isRepeatedOnceSoon() {
        QuarantineFleet fleet = interruptedTogether(8);
        for (int i = 0; i < 2; i++) {
            List<String> trials = fleet.takeTrials(INNOCENT);
            assertThat(trials).hasSize(1);
            fleet.endTrial(trials.get(0), INNOCENT);
            assertThat(fleet.takeTrials(INNOCENT)).isEmpty();
            fleet.run(SuspectTable.TRIAL_AFTER_MS);
        }
        assertThat(fleet.takeTrials(INNOCENT)).isEmpty();
    }

    @Test
    void requestThatCrashedAlone_getsNoTrial() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        crashThree(fleet);
        fleet.run(60_000);
        assertThat(fleet.takeTrials(CRASHING)).isEmpty();
    }

    @Test
    void callsToTheStore_dependOnVerdictsAndNotOnVms() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        fleet.run(1_000);
        int started = fleet.calls();
        crashThree(fleet);
        fleet.run(60_000);
        // One write, and one read in ten seconds of the keeper.
        assertThat(fleet.calls() - started).isLessThanOrEqualTo(8);
    }

    @Test
    void fleetWithoutCrashes_sendsNothing() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        fleet.run(60_000);
        assertThat(fleet.messages()).isZero();
        assertThat(fleet.calls()).isEqualTo(95);
    }
}
