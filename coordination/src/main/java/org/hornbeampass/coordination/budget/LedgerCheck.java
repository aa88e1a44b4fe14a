package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.HolderRecord;

import java.util.Optional;

/**
 * The invariants of the platform's record of a budget, one check each.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum LedgerCheck {
    /** What holders drew and did not return never exceeds what was paid. */
    DRAWN_WITHIN_PAID {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    record.drawn() > record.paid(),
                    record.drawn() + " tokens drawn of " + record.paid() + " paid");
        }
    },
    /** What is settled never exceeds what was drawn. */
    SETTLED_WITHIN_DRAWN {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    record.settled() > record.drawn(),
                    record.settled() + " tokens settled of " + record.drawn() + " drawn");
        }
    },
    /** No counter is negative, but for one holder's spending, from which refunds are taken. */
    COUNTERS_NOT_NEGATIVE {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            boolean below =
                    record.paid() < 0
                            || record.settled() < 0
                            || isAnyCounterNegative(record.closed());
            for (HolderRecord holder : record.holders().values()) {
                below |= isAnyCounterNegative(holder);
            }
            return detailIf(below, "a counter is below 0");
        }
    },
    /** The statement's parts add up to what was paid. */
    STATEMENT_RECONCILES {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    !BudgetStatement.of(key, record).reconciles(),
                    "the statement's parts do not add up to " + record.paid() + " paid");
        }
    };

    abstract Optional<String> findBreach(BudgetKey key, BudgetRecord record);

    private static Optional<String> detailIf(boolean broken, String detail) {
        return broken ? Optional.of(detail) : Optional.empty();
    }

    private static boolean isAnyCounterNegative(HolderRecord holder) {
        return holder.granted() < 0
                || holder.returned() < 0
                || holder.movedIn() < 0
                || holder.movedOut() < 0;
    }
}
