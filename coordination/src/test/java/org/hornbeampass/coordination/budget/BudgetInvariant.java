package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.BudgetRecord;

import java.util.Arrays;
import java.util.List;

/**
 * Invariants checked after each step of a schedule. Those named {@code AT_THE_END} are checked only
 * after all faults are removed and all requests ended.
 */
enum BudgetInvariant {
    /** The tokens spent, as counted by the run, never exceed the paid tokens. */
    SPENT_WITHIN_PAID {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.spentTokens() <= record.paid();
        }
    },
    /** All tokens spent, and held by any VM including crashed and paused ones, were drawn. */
    HELD_AND_SPENT_WITHIN_DRAWN {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.spentTokens() + run.heldTokens() <= record.drawn();
        }
    },
    /** The audit of the record finds no violation. */
    AUDIT_FINDS_NOTHING {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return BudgetAdmin.audit(BudgetSimulation.ORGANISATION, run.simulation().record())
                    .isEmpty();
        }
    },
    /** Each top-up counts at most once, and exactly once if the operator received a success. */
    TOP_UP_COUNTS_ONCE {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            boolean countedOnce =
                    record.paid() >= run.tokensOfCompletedTopUps()
                            && record.paid() <= run.tokensOfAllTopUps();
            return run.paidWasSet() || countedOnce;
        }
    },
    /** A request is refused as exhausted only if fewer tokens were left than it asked for. */
    EXHAUSTED_IS_TRUE {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.wrongRefusals().isEmpty();
        }
    },
    /**
     * Each request receives its outcome before its wait is over, unless its VM is paused or
     * crashed.
     */
    ANSWERED_IN_TIME {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.overdueRequests() == 0;
        }
    },
    /**
     * The settled tokens and the drawn tokens equal the tokens spent. If tokens may be lost, for
     * example by crashes, only the tokens drawn must cover the tokens spent.
     */
    SETTLED_IS_SPENT_AT_THE_END {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            if (run.lossPossible()) {
                return record.drawn() >= run.spentTokens();
            }
            return record.settled() == run.spentTokens() && record.drawn() == run.spentTokens();
        }

        @Override
        boolean onlyAtTheEnd() {
            return true;
        }
    };

    abstract boolean holds(ScheduleRun run, BudgetRecord record);

    boolean onlyAtTheEnd() {
        return false;
    }

    /** Returns the violated invariants. */
    static List<BudgetInvariant> findBroken(ScheduleRun run, boolean atTheEnd) {
        BudgetRecord record = run.record();
        return Arrays.stream(values())
                .filter(i -> atTheEnd || !i.onlyAtTheEnd())
                .filter(i -> !i.holds(run, record))
                .toList();
    }
}
