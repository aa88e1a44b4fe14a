package org.hornbeampass.coordination.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Proves each check of the schedules by a broken rule that it must catch. */
class FleetMutantsTest {
    private static final int SCHEDULES = 300;

    @ParameterizedTest
    @CsvSource({
        "CREATE_OVERWRITES, ACCEPTED_STANDS",
        "CREATE_OVERWRITES, SAME_REVISION_SAME_CONFIGURATION",
        "OWN_WRITE_IS_NOT_RECOGNISED, REFUSED_NEVER_APPLIED",
        "RESUME_FORGETS, REVISION_NEVER_FALLS",
        "LEAVING_IS_NOT_TOLD, LEAVING_NOT_ANSWERED",
        "DEAD_ANSWER, DEAD_NOT_LIVE",
        "ABSENCE_PROVES_GONE, RUNNING_NOT_PROVED_GONE",
        "REFUTATION_IS_WEAK, VIEWS_AGREE_AT_THE_END",
        "NOBODY_HEARS, CONFIGURATION_AGREES_AT_THE_END"
    })
    void check_catchesTheBrokenRule(FleetMutant mutant, FleetInvariant check) {
        assertThat(caught(mutant, check)).isTrue();
    }

    private static boolean caught(FleetMutant mutant, FleetInvariant check) {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            if (new FleetRun(mutant, seed).run(FleetSchedules.of(seed)).contains(check)) {
                return true;
            }
        }
        return false;
    }
}
