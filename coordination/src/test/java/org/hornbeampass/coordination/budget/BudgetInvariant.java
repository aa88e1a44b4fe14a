package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.BudgetRecord;

import java.util.Arrays;
import java.util.List;

/** What must hold after each step of a schedule; {@code AT_THE_END} once all is healed. */
enum BudgetInvariant {
    /** What was really spent, by the run's own books, never exceeds what was paid. */
    SPENT_WITHIN_PAID {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.spentTokens() <= record.paid();
        }
    },
    /** What is spent and held anywhere, also by dead and paused VMs, was drawn. */
    HELD_AND_SPENT_WITHIN_DRAWN {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.spentTokens() + run.heldTokens() <= record.drawn();
        }
    },
    /** The audit of the record finds nothing. */
    AUDIT_FINDS_NOTHING {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return BudgetAdmin.audit(BudgetSimulation.ORGANISATION, run.simulation().record())
                    .isEmpty();
        }
    },
    /** Each top-up counts at most once, and once where the operator was told so. */
    TOP_UP_COUNTS_ONCE {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            boolean once =
                    record.paid() >= run.tokensOfCompletedTopUps()
                            && record.paid() <= run.tokensOfAllTopUps();
            return run.paidWasSet() || once;
        }
    },
    /** A request is refused as exhausted only where less is left than it asked for. */
    EXHAUSTED_IS_TRUE {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.wrongRefusals().isEmpty();
        }
    },
    /** Each request has its answer when its wait is over, unless its VM is paused or dead. */
    ANSWERED_IN_TIME {
        @Override
        boolean holds(ScheduleRun run, BudgetRecord record) {
            return run.overdueRequests() == 0;
        }
    },
    /** Nothing is counted as settled that was not spent; with no deaths, all and no more is. */
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

    /** Returns the invariants that do not hold. */
    static List<BudgetInvariant> findBroken(ScheduleRun run, boolean atTheEnd) {
        BudgetRecord record = run.record();
        return Arrays.stream(values())
                .filter(i -> atTheEnd || !i.onlyAtTheEnd())
                .filter(i -> !i.holds(run, record))
                .toList();
    }
}
