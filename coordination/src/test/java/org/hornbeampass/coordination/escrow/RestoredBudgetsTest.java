package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tokens that are spent twice because the store, restored from an older copy, has
 * forgotten that they were granted.
 */
class RestoredBudgetsTest {
    private static final long PREPAID = 10_000;
    private static final long REQUEST = 100;
    private static final long SEEDS = 200;
    private static final int STEPS = 600;

    /** Sends requests to one VM until {@code tokens} are used or none is admitted any more. */
    private static void use(RandomizedEscrowFleet fleet, int vm, long tokens) {
        int refused = 0;
        for (long used = 0; used < tokens && refused < 50; ) {
            if (fleet.request(vm, REQUEST) == Admission.RESERVED) {
                used += REQUEST;
                fleet.finishAllUsingAll(vm);
            } else {
                refused++;
            }
            fleet.runWithoutFaults(100);
        }
    }

    private static void restore(RandomizedEscrowFleet fleet, MemoryPlatform.Copy copy) {
        fleet.restoreStore(copy);
        for (int vm = 0; vm < fleet.vms(); vm++) {
            fleet.learnEra(vm);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void tokensWhoseGrantWasForgotten_areNotGrantedToAnotherVm(int others) {
        RandomizedEscrowFleet fleet = new RandomizedEscrowFleet(1, 1 + others, PREPAID);
        fleet.runWithoutFaults(2_000);
        MemoryPlatform.Copy copy = fleet.copyStore();
        use(fleet, 0, PREPAID * 6 / 10);
        restore(fleet, copy);
        for (int vm = 1; vm <= others; vm++) {
            use(fleet, vm, PREPAID);
        }
        use(fleet, 0, PREPAID);
        assertThat(fleet.usedOrReserved()).isBetween(PREPAID * 9 / 10, PREPAID);
    }

    @Test
    void tokensOfAVmThatEndedAfterTheRestore_areNotGrantedToAnotherVm() {
        RandomizedEscrowFleet fleet = new RandomizedEscrowFleet(1, 2, PREPAID);
        fleet.runWithoutFaults(2_000);
        MemoryPlatform.Copy copy = fleet.copyStore();
        use(fleet, 0, PREPAID * 6 / 10);
        fleet.runWithoutFaults(4_000);
        restore(fleet, copy);
        fleet.restart(0);
        use(fleet, 1, PREPAID);
        use(fleet, 0, PREPAID);
        assertThat(fleet.usedOrReserved()).isLessThanOrEqualTo(PREPAID);
    }

    /** Uses up a budget on all VMs in turn, each waiting until further tokens may be granted. */
    private static void useUp(RandomizedEscrowFleet fleet) {
        for (int round = 0; round < 4; round++) {
            for (int vm = 0; vm < fleet.vms(); vm++) {
                use(fleet, vm, PREPAID);
            }
            fleet.runWithoutFaults(GrantCeilings.MAX_COPY_AGE_MS);
        }
    }

    private static void restartAll(RandomizedEscrowFleet fleet) {
        for (int vm = 0; vm < fleet.vms(); vm++) {
            fleet.restart(vm);
            fleet.learnEra(vm);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, 2_000, 20_000})
    void tokensWhoseGrantNobodyKnows_areNotGrantedAgain(long copyAfterMs) {
        RandomizedEscrowFleet fleet = new RandomizedEscrowFleet(1, 3, PREPAID);
        fleet.runWithoutFaults(copyAfterMs);
        MemoryPlatform.Copy copy = fleet.copyStore();
        for (long ms = 0; ms < GrantCeilings.MAX_COPY_AGE_MS; ms += 100) {
            int vm = (int) (ms / 100 % fleet.vms());
            if (fleet.request(vm, REQUEST) == Admission.RESERVED) {
                fleet.finishAllUsingAll(vm);
            }
            fleet.runWithoutFaults(100);
        }
        fleet.restoreStore(copy);
        restartAll(fleet);
        useUp(fleet);
        assertThat(fleet.usedOrReserved()).isBetween(PREPAID * 4 / 10, PREPAID);
    }

    @Test
    void vmsKilledAtEachRestoration_neverOverspend() {
        for (long seed = 0; seed < SEEDS; seed++) {
            RandomizedEscrowFleet fleet = new RandomizedEscrowFleet(seed, 3, PREPAID);
            fleet.enableLossOfAllVms();
            for (int i = 0; i < STEPS; i++) {
                fleet.step();
                assertThat(fleet.usedOrReserved())
                        .as("seed %d, step %d", seed, i)
                        .isLessThanOrEqualTo(fleet.prepaid());
            }
        }
    }

    private static void assertNeverOverspends(int vms, long seed) {
        RandomizedEscrowFleet fleet = new RandomizedEscrowFleet(seed, vms, PREPAID);
        fleet.enableRestores();
        for (int i = 0; i < STEPS; i++) {
            fleet.step();
            assertThat(fleet.usedOrReserved())
                    .as("%d VMs, seed %d, step %d", vms, seed, i)
                    .isLessThanOrEqualTo(fleet.prepaid());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5})
    void restorationsAmongOtherFaults_neverOverspend(int vms) {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertNeverOverspends(vms, seed);
        }
    }

    @Test
    void restorationsInARowWhileVmsRestart_neverOverspend() {
        assertNeverOverspends(2, 1_839);
    }
}
