package org.hornbeampass.coordination.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that each invariant of the fleet schedules detects a mutant that violates it. */
class FleetMutantsTest {
    private static final int SCHEDULES = 300;

    @ParameterizedTest
    @CsvSource({
        "CREATE_OVERWRITES, ACCEPTED_CHANGE_IN_LOG",
        "CREATE_OVERWRITES, SAME_REVISION_SAME_CONFIGURATION",
        "OWN_WRITE_IS_NOT_RECOGNISED, REJECTED_CHANGE_NOT_IN_LOG",
        "RESUME_LOSES_STATE, REVISION_NEVER_FALLS",
        "LEAVING_IS_NOT_ANNOUNCED, LEAVING_VM_NOT_IN_ANSWERS",
        "STOPPED_VM_ACKNOWLEDGES, STOPPED_VM_NOT_LIVE",
        "ABSENCE_PROVES_GONE, RUNNING_NOT_PROVED_GONE",
        "REFUTATION_RESETS_COUNTER, VIEWS_AGREE_AT_THE_END",
        "CHANGES_ARE_NOT_DELIVERED, CONFIGURATION_AGREES_AT_THE_END"
    })
    void invariant_detectsTheMutant(FleetMutant mutant, FleetInvariant check) {
        assertThat(isDetected(mutant, check)).isTrue();
    }

    private static boolean isDetected(FleetMutant mutant, FleetInvariant check) {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            if (new FleetRun(mutant, seed).run(FleetSchedules.of(seed)).contains(check)) {
                return true;
            }
        }
        return false;
    }
}
