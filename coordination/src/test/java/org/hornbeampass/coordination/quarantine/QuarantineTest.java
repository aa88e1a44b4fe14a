package org.hornbeampass.coordination.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.stream.Stream;

/**
 * Guards against VMs that miss a quarantine or its end because of lost messages, unreachable VMs or
 * an unavailable store.
 */
class QuarantineTest {
    /** The time in which all reachable VMs must receive a change, in milliseconds. */
    private static final long PROPAGATION_MS = 3_000;

    private static final int MAX_TRIALS = 2;

    private static final int MAX_ROUNDS = 4;

    private static final SuspectDigest CRASHING = SuspectDigest.ofRequest(1, 1);

    private static final SuspectDigest HARMLESS = SuspectDigest.ofRequest(2, 2);

    private static void reportThreeCrashes(QuarantineFleet fleet) {
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.crash("vm-2", "i-2", CRASHING);
        fleet.crash("vm-3", "i-3", CRASHING);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 8, 95})
    void crashesSeenByDifferentVms_addUpOnEveryVm(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        reportThreeCrashes(fleet);
        fleet.run(1_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
        assertThat(fleet.isRecorded(CRASHING)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void promptPartWhoseCrashesDifferentVmsSaw_isQuarantinedOnAllAndAfterTheyWereKilled(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        SuspectDigest part = SuspectDigest.ofPart(7);
        for (int i = 1; i <= 5; i++) {
            fleet.crash("vm-" + i, "i-" + i, part, SuspectDigest.ofRequest(9, i));
        }
        fleet.run(1_000);
        assertThat(fleet.quarantinedVmCount(part)).isEqualTo(vms);
        fleet.restartAll();
        fleet.run(1_000);
        assertThat(fleet.quarantinedVmCount(part)).isEqualTo(vms);
    }

    private static QuarantineFleet fleetWithFourCrashes(int vms, SuspectDigest part) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        for (int i = 0; i < 4; i++) {
            fleet.crash("vm-" + i, "i-" + i, part, SuspectDigest.ofRequest(9, i));
            fleet.run(4_000);
        }
        return fleet;
    }

    private static long quarantinedAfterFifthCrash(QuarantineFleet fleet, SuspectDigest part) {
        fleet.run(1_000);
        fleet.crash("vm-1", "i-5", part, SuspectDigest.ofRequest(9, 5));
        fleet.run(1_000);
        return fleet.quarantinedVmCount(part);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 8, 95})
    void crashesBeforeAllVmsWereKilled_leadToAQuarantineAfterwards(int vms) {
        SuspectDigest part = SuspectDigest.ofPart(7);
        QuarantineFleet fleet = fleetWithFourCrashes(vms, part);
        fleet.restartAll();
        assertThat(quarantinedAfterFifthCrash(fleet, part)).isEqualTo(vms);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 95})
    void crashesThatARestoredStoreLost_leadToAQuarantineAfterAllVmsWereKilled(int vms) {
        SuspectDigest part = SuspectDigest.ofPart(7);
        MemoryPlatform.Copy empty = new QuarantineFleet(vms).copyStore();
        QuarantineFleet fleet = fleetWithFourCrashes(vms, part);
        fleet.restoreStore(empty);
        fleet.run(PROPAGATION_MS);
        fleet.restartAll();
        assertThat(quarantinedAfterFifthCrash(fleet, part)).isEqualTo(vms);
    }

    @Test
    void crashesClearedBeforeAllVmsWereKilled_doNotCountAfterwards() {
        SuspectDigest part = SuspectDigest.ofPart(7);
        QuarantineFleet fleet = fleetWithFourCrashes(8, part);
        fleet.answerPart("vm-1", part);
        fleet.run(12_000);
        fleet.restartAll();
        assertThat(quarantinedAfterFifthCrash(fleet, part)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void quarantinedPartThatTheRecordOwnerExplains_isNotLifted(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        SuspectDigest part = SuspectDigest.ofPart(7);
        SuspectDigest rare = SuspectDigest.ofPart(8);
        for (int i = 1; i <= 5; i++) {
            fleet.crash("vm-" + i, "i-" + i, part, rare);
        }
        fleet.run(PROPAGATION_MS);
        String owner = fleet.recordOwner();
        fleet.arrive(owner, part, 50);
        fleet.run(30_000);
        assertThat(fleet.status(owner, part)).isNotEqualTo(QuarantineStatus.QUARANTINED);
        fleet.arrive(owner, rare, 50);
        fleet.run(30_000);
        assertThat(fleet.quarantinedVmCount(part)).isEqualTo(vms);
        assertThat(fleet.isRecorded(part)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void crashSeenByOneVm_isNotifiedOnceOnEach(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.run(PROPAGATION_MS);
        fleet.crash("vm-2", "i-1", HARMLESS);
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.crashNotifications()).isEqualTo(vms);
    }

    @Test
    void upstreamThatRunsAgainUnderTheSameIdentity_isNotTakenForCrashedForever() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.run(1_000);
        assertThat(fleet.hasJustCrashed("vm-2", "i-1")).isTrue();
        fleet.run(Quarantine.CRASH_EFFECT_MS);
        fleet.crash("vm-1", "i-2", CRASHING);
        fleet.run(1_000);
        assertThat(fleet.hasJustCrashed("vm-2", "i-1")).isFalse();
        assertThat(fleet.hasJustCrashed("vm-2", "i-2")).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void crashReportedByManyVms_countsOnce(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        for (int i = 0; i < vms; i++) {
            fleet.crash("vm-" + i, "i-1", CRASHING);
        }
        fleet.run(5_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
        assertThat(fleet.status("vm-0", CRASHING)).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void lostMessages_delayTheQuarantineOnlyBriefly(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.loseMessages(0.2);
        reportThreeCrashes(fleet);
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
    }

    @Test
    void relayThatEndsBeforeForwarding_isReplaced() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        reportThreeCrashes(fleet);
        for (int i = 10; i < 20; i++) {
            fleet.kill("vm-" + i);
        }
        fleet.run(1_000);
        for (int i = 10; i < 20; i++) {
            fleet.removeMember("vm-" + i);
        }
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(85);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void partitionedVm_receivesTheQuarantineAfterwards(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.setPartitioned("vm-7", true);
        reportThreeCrashes(fleet);
        fleet.run(10_000);
        assertThat(fleet.status("vm-7", CRASHING)).isEqualTo(QuarantineStatus.UNSUSPECTED);
        fleet.setPartitioned("vm-7", false);
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void allVmsKilledAtOnce_readTheQuarantineFromTheStore(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        reportThreeCrashes(fleet);
        fleet.run(1_000);
        fleet.restartAll();
        fleet.run(1_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void recordOwnerCutOffFromTheStore_doesNotLoseTheQuarantine(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        fleet.cutFromStore(fleet.recordOwner());
        reportThreeCrashes(fleet);
        fleet.run(1_800);
        assertThat(fleet.isRecorded(CRASHING)).isTrue();
        fleet.restartAll();
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
    }

    @Test
    void unansweredWrite_doesNotBlockOtherWrites() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        fleet.run(1_000);
        fleet.leaveWritesUnanswered(1);
        reportThreeCrashes(fleet);
        fleet.run(200);
        SuspectDigest second = SuspectDigest.ofRequest(3, 3);
        for (int i = 4; i <= 6; i++) {
            fleet.crash("vm-1", "i-" + i, second);
        }
        fleet.run(500);
        assertThat(fleet.isRecorded(second)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void newVmWhileTheStoreIsUnavailable_receivesTheQuarantineFromOthers(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        reportThreeCrashes(fleet);
        fleet.run(1_000);
        fleet.setStoreUnavailable(true);
        fleet.start("vm-new", 2);
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.status("vm-new", CRASHING)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void quarantineWhileTheStoreIsUnavailable_isRecordedLater() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        fleet.run(1_000);
        fleet.setStoreUnavailable(true);
        reportThreeCrashes(fleet);
        fleet.run(20_000);
        fleet.setStoreUnavailable(false);
        fleet.run(2_000);
        assertThat(fleet.isRecorded(CRASHING)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void completeAnswerOnOneVm_clearsTheRequestOnAll(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.crash("vm-1", "i-1", CRASHING);
        fleet.crash("vm-2", "i-2", CRASHING);
        fleet.run(1_000);
        fleet.answer("vm-5", CRASHING);
        fleet.run(1_000);
        fleet.crash("vm-3", "i-3", CRASHING);
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void recordDeletedByOperators_liftsTheQuarantineOnAllVms(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        reportThreeCrashes(fleet);
        fleet.run(12_000);
        fleet.deleteRecord(CRASHING);
        fleet.run(12_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
        fleet.start("vm-late", 1);
        fleet.run(5_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void recordLostByARestoredStore_isWrittenAgain(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        fleet.run(1_000);
        MemoryPlatform.Copy copy = fleet.copyStore();
        reportThreeCrashes(fleet);
        fleet.run(12_000);
        fleet.restoreStore(copy);
        fleet.run(12_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
        assertThat(fleet.isRecorded(CRASHING)).isTrue();
        fleet.deleteRecord(CRASHING);
        fleet.run(12_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void quarantine_expiresOnAllVmsAndLeavesNoRecord(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        reportThreeCrashes(fleet);
        fleet.run(SuspectTable.RETENTION_MS - 10_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms);
        fleet.run(60_000);
        assertThat(fleet.quarantinedVmCount(CRASHING)).isZero();
        assertThat(fleet.isRecorded(CRASHING)).isFalse();
    }

    private static QuarantineFleet interruptedTogether(int vms) {
        QuarantineFleet fleet = new QuarantineFleet(vms);
        for (int i = 1; i <= 3; i++) {
            fleet.crash("vm-" + i, "i-" + i, CRASHING, HARMLESS);
        }
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(HARMLESS)).isEqualTo(vms);
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 95})
    void requestThatRanOnlyBesideACrashingOne_isClearedByItsTrial(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms + 1);
        List<String> trials = fleet.startTrials(HARMLESS);
        assertThat(trials).hasSize(1);
        fleet.answer(trials.get(0), HARMLESS);
        fleet.run(1_000);
        assertThat(fleet.quarantinedVmCount(HARMLESS)).isZero();
        assertThat(fleet.quarantinedVmCount(CRASHING)).isEqualTo(vms + 1);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialOfTheCrashingRequest_releasesTheOthers(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        List<String> trials = fleet.startTrials(CRASHING);
        assertThat(trials).hasSize(1);
        fleet.crash(trials.get(0), "i-4", CRASHING);
        fleet.endTrial(trials.get(0), CRASHING);
        fleet.run(SuspectTable.TRIAL_DELAY_MS);
        assertThat(fleet.quarantinedVmCount(HARMLESS)).isZero();
        assertThat(fleet.startTrials(CRASHING)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialsOfRequestsWithTheSameCrashes_areNeverRunAtTheSameTime(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        List<String> trials = fleet.startTrials(HARMLESS);
        assertThat(trials).hasSize(1);
        fleet.run(60_000);
        assertThat(fleet.startTrials(CRASHING)).isEmpty();
        fleet.endTrial(trials.get(0), HARMLESS);
        assertThat(fleet.startTrials(CRASHING)).hasSize(1);
    }

    @Test
    void inconclusiveTrial_isRepeatedOnce() {
        QuarantineFleet fleet = interruptedTogether(8);
        for (int i = 0; i < 2; i++) {
            List<String> trials = fleet.startTrials(HARMLESS);
            assertThat(trials).hasSize(1);
            fleet.endTrial(trials.get(0), HARMLESS);
            assertThat(fleet.startTrials(HARMLESS)).isEmpty();
            fleet.run(SuspectTable.TRIAL_DELAY_MS);
        }
        assertThat(fleet.startTrials(HARMLESS)).isEmpty();
    }

    /** Runs the trials that the record owner allows; returns their number. */
    private static int runInconclusiveTrials(QuarantineFleet fleet) {
        int trials = 0;
        for (int i = 0; i < MAX_ROUNDS; i++) {
            List<String> vms = fleet.startTrials(CRASHING);
            vms.forEach(vm -> fleet.endTrial(vm, CRASHING));
            trials += vms.size();
            fleet.run(SuspectTable.TRIAL_DELAY_MS);
        }
        return trials;
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialsAllowedByFormerRecordOwners_countOnTheNextOne(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        int trials = runInconclusiveTrials(fleet);
        for (int i = 0; i < 2; i++) {
            String owner = fleet.recordOwner();
            fleet.kill(owner);
            fleet.removeMember(owner);
            trials += runInconclusiveTrials(fleet);
        }
        assertThat(trials).isEqualTo(MAX_TRIALS);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void trialsBeforeAllVmsWereKilled_countAfterwards(int vms) {
        QuarantineFleet fleet = interruptedTogether(vms);
        int trials = runInconclusiveTrials(fleet);
        fleet.restartAll();
        fleet.run(PROPAGATION_MS);
        trials += runInconclusiveTrials(fleet);
        assertThat(trials).isEqualTo(MAX_TRIALS);
    }

    @Test
    void requestThatCrashedAlone_getsNoTrial() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        reportThreeCrashes(fleet);
        fleet.run(60_000);
        assertThat(fleet.startTrials(CRASHING)).isEmpty();
    }

    @Test
    void storeCalls_dependOnQuarantinesAndNotOnVms() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        fleet.run(1_000);
        int started = fleet.storeCalls();
        reportThreeCrashes(fleet);
        fleet.run(60_000);
        // One write, and one read by the record owner every ten seconds.
        assertThat(fleet.storeCalls() - started).isLessThanOrEqualTo(8);
    }

    @Test
    void fleetWithoutCrashes_sendsNothing() {
        QuarantineFleet fleet = new QuarantineFleet(95);
        fleet.run(60_000);
        assertThat(fleet.messages()).isZero();
        assertThat(fleet.storeCalls()).isEqualTo(95);
    }

    /** Sends a request with quarantined parts to a VM; returns whether it is served. */
    private static boolean isServed(QuarantineFleet fleet, String vm, SuspectDigest... parts) {
        SuspectDigest[] quarantined =
                Stream.of(parts)
                        .filter(p -> fleet.status(vm, p) == QuarantineStatus.QUARANTINED)
                        .toArray(SuspectDigest[]::new);
        boolean trial = quarantined.length > 0;
        if (trial && !fleet.tryStartTrial(vm, quarantined)) {
            return false;
        }
        Stream.of(quarantined).forEach(p -> fleet.answerPart(vm, p));
        Stream.of(quarantined).forEach(p -> fleet.endTrial(vm, p));
        return true;
    }

    @Test
    void soundPartsThatAlwaysCameBesideACrashingOne_areServedAfterOneTrialOfBoth() {
        QuarantineFleet fleet = new QuarantineFleet(8);
        SuspectDigest first = SuspectDigest.ofPart(1);
        SuspectDigest second = SuspectDigest.ofPart(2);
        SuspectDigest crashing = SuspectDigest.ofPart(3);
        for (int i = 1; i <= 5; i++) {
            fleet.crash("vm-" + i, "i-" + i, first, second, crashing);
        }
        fleet.run(PROPAGATION_MS);
        assertThat(fleet.quarantinedVmCount(first)).isEqualTo(8);
        assertThat(fleet.tryStartTrial(fleet.recordOwner(), first, second, crashing)).isFalse();
        int served = 0;
        for (int i = 0; i < 30; i++) {
            fleet.arrive("vm-" + i % 8, first, 1);
            fleet.arrive("vm-" + i % 8, second, 1);
            served += isServed(fleet, "vm-" + i % 8, first, second) ? 1 : 0;
            fleet.run(200);
        }
        assertThat(served).isGreaterThanOrEqualTo(15);
        assertThat(fleet.quarantinedVmCount(crashing)).isEqualTo(8);
    }
}
