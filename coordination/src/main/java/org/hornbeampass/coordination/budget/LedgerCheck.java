package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.HolderRecord;

import java.util.Optional;

/**
 * Checks of the invariants of the platform's record of a budget.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum LedgerCheck {
    /** The tokens that holders drew and did not return never exceed the paid tokens. */
    DRAWN_WITHIN_PAID {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    record.drawn() > record.paid(),
                    record.drawn() + " tokens drawn of " + record.paid() + " paid");
        }
    },
    /** The settled tokens never exceed the tokens drawn. */
    SETTLED_WITHIN_DRAWN {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    record.settled() > record.drawn(),
                    record.settled() + " tokens settled of " + record.drawn() + " drawn");
        }
    },
    /**
     * No counter is negative, except the spending of a single holder, which refunds can lower below
     * 0.
     */
    COUNTERS_NOT_NEGATIVE {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            boolean anyNegative =
                    record.paid() < 0
                            || record.settled() < 0
                            || isAnyCounterNegative(record.closed());
            for (HolderRecord holder : record.holders().values()) {
                anyNegative |= isAnyCounterNegative(holder);
            }
            return detailIf(anyNegative, "a counter is negative");
        }
    },
    /** The parts of the statement add up to the paid tokens. */
    STATEMENT_RECONCILES {
        @Override
        Optional<String> findBreach(BudgetKey key, BudgetRecord record) {
            return detailIf(
                    !BudgetStatement.of(key, record).reconciles(),
                    "the statement's parts do not add up to " + record.paid() + " paid");
        }
    };

    abstract Optional<String> findBreach(BudgetKey key, BudgetRecord record);

    private static Optional<String> detailIf(boolean violated, String detail) {
        return violated ? Optional.of(detail) : Optional.empty();
    }

    private static boolean isAnyCounterNegative(HolderRecord holder) {
        return holder.granted() < 0
                || holder.returned() < 0
                || holder.movedIn() < 0
                || holder.movedOut() < 0;
    }
}
