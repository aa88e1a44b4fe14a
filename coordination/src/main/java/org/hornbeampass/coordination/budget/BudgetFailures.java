package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.budget.BudgetRecord;

import java.util.Optional;

/** The refusals of the budget ledger, with what mends each. Stateless and thread-safe. */
final class BudgetFailures {
    private BudgetFailures() {}

    /** Returns what is wrong with a number of tokens to reserve; empty where nothing is. */
    static Optional<Failure> checkTokens(long tokens) {
        if (tokens >= 1 && tokens <= BudgetRecord.MAX_TOKENS) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.FIELD_INVALID,
                        "tokens is "
                                + tokens
                                + "; give a number from 1 to "
                                + BudgetRecord.MAX_TOKENS));
    }

    /** The ledger is known to hold less than the request may need. */
    static Failure exhausted(BudgetKey key, long tokens) {
        return Failure.of(
                ErrorKind.BUDGET_EXHAUSTED,
                "budget "
                        + key
                        + " has less left than the "
                        + tokens
                        + " tokens that the request may use; top it up or ask for fewer tokens");
    }

    /** Tokens may be left, and this VM can't get at them now. */
    static Failure unreachable(BudgetKey key, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "budget " + key + " can't be drawn on here at the moment; retry, also elsewhere",
                Math.max(1, retryAfterMs));
    }

    /** Too many requests wait already. */
    static Failure tooManyWait(BudgetKey key, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "too many requests wait for a grant of budget " + key + "; retry later",
                Math.max(1, retryAfterMs));
    }

    /** The VM hands its budgets over. */
    static Failure shuttingDown() {
        return Failure.of(
                ErrorKind.SHUTTING_DOWN, "this VM is shutting down; send the request to another");
    }
}
