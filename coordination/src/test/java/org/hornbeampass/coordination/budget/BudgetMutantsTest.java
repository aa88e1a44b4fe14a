package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that each invariant check of the random schedules detects a rule that is deliberately
 * broken.
 */
class BudgetMutantsTest {
    private static final int SCHEDULES = 3_000;

    @ParameterizedTest
    @CsvSource({
        "CLOSED_GRANT_IS_REUSED, SPENT_WITHIN_PAID",
        "CLOSED_GRANT_IS_REUSED, HELD_AND_SPENT_WITHIN_DRAWN",
        "LOWERED_BELOW_GRANTED, AUDIT_FINDS_NOTHING",
        "VERSION_IS_IGNORED, HELD_AND_SPENT_WITHIN_DRAWN",
        "TOP_UP_ID_IS_FORGOTTEN, TOP_UP_COUNTS_ONCE",
        "MOVE_IS_ADDED_TWICE, HELD_AND_SPENT_WITHIN_DRAWN",
        "SPENDING_IS_NOT_REPORTED, SETTLED_IS_SPENT_AT_THE_END",
        "UNSPENT_IS_SHOWN_AS_SETTLED, EXHAUSTED_IS_TRUE",
        "TICKS_STOP, ANSWERED_IN_TIME"
    })
    void check_detectsTheBrokenRule(BudgetMutant mutant, BudgetInvariant check) {
        assertThat(isCaught(mutant, check)).isTrue();
    }

    private static boolean isCaught(BudgetMutant mutant, BudgetInvariant check) {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            if (BudgetSchedules.run(seed, mutant).run(BudgetSchedules.of(seed)).contains(check)) {
                return true;
            }
        }
        return false;
    }
}
