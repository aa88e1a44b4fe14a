package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;

import java.util.Objects;

/**
 * What one attempt of a request used, to be charged to one budget.
 *
 * <p>Invariant: token counts are not negative and their sum does not overflow. Immutable; safe for
 * use by any thread.
 *
 * @param key the request
 * @param budget the organisation's budget that it draws on
 * @param attempt the attempt that used the tokens
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens of the answer
 * @param admittedAtMs when the VM admitted the request, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Bill(
        RequestKey key,
        BudgetId budget,
        AttemptId attempt,
        long promptTokens,
        long completionTokens,
        long admittedAtMs) {
    /** Checks the parts. */
    public Bill {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(attempt, "attempt");
        if (promptTokens < 0 || completionTokens < 0) {
            throw new IllegalArgumentException("billed tokens must not be negative");
        }
        Math.addExact(promptTokens, completionTokens);
    }

    /** Returns all tokens that are charged. */
    public long tokens() {
        return promptTokens + completionTokens;
    }

    /** Returns the budget that is charged. */
    @JsonIgnore
    public BudgetKey budgetKey() {
        return new BudgetKey(key.organisation(), budget);
    }
}
