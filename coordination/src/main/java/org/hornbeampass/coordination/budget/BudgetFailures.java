package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.budget.BudgetRecord;

import java.util.Optional;

/**
 * Creates the errors of the budget ledger. Each message says how to resolve the error. Stateless
 * and thread-safe.
 */
final class BudgetFailures {
    private BudgetFailures() {}

    /** Returns an error if a number of tokens is outside the valid range; empty if it is valid. */
    static Optional<Failure> checkTokens(long tokens) {
        if (tokens >= 1 && tokens <= BudgetRecord.MAX_TOKENS) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.FIELD_INVALID,
                        "tokens is "
                                + tokens
                                + "; it must be a number from 1 to "
                                + BudgetRecord.MAX_TOKENS));
    }

    /** Returns the error for a request that may need more tokens than the whole budget has left. */
    static Failure exhausted(BudgetKey key, long tokens) {
        return Failure.of(
                ErrorKind.BUDGET_EXHAUSTED,
                "budget "
                        + key
                        + " has less left than the "
                        + tokens
                        + " tokens that the request may use; top it up or ask for fewer tokens");
    }

    /**
     * Returns the error for a request that this VM can't get tokens for at present, although the
     * budget may have some left.
     */
    static Failure unreachable(BudgetKey key, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "budget "
                        + key
                        + " is unreachable from this VM at present; retry here or on another VM",
                Math.max(1, retryAfterMs));
    }

    /** Returns the error for a request that can't wait because too many others do. */
    static Failure tooManyWait(BudgetKey key, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "too many requests wait for a grant of budget " + key + "; retry later",
                Math.max(1, retryAfterMs));
    }

    /** Returns the error of a VM that is handing over its budgets during shutdown. */
    static Failure shuttingDown() {
        return Failure.of(
                ErrorKind.SHUTTING_DOWN,
                "this VM is shutting down; send the request to another VM");
    }
}
