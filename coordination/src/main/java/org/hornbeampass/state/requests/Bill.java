package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;

import java.util.Objects;

/**
 * The tokens that one attempt of a request used, to be charged to one budget.
 *
 * <p>Invariant: token counts are not negative and their sum does not overflow. Immutable; safe for
 * use by any thread.
 *
 * @param key the request
 * @param budget the budget of the organisation that is charged
 * @param attempt the attempt that used the tokens
 * @param promptTokens the number of tokens of the prompt
 * @param completionTokens the number of tokens of the answer
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
    /** Checks that no component is null and that the token counts are valid. */
    public Bill {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(attempt, "attempt");
        if (promptTokens < 0 || completionTokens < 0) {
            throw new IllegalArgumentException("billed tokens must not be negative");
        }
        Math.addExact(promptTokens, completionTokens);
    }

    /** Returns the sum of prompt and completion tokens. */
    public long tokens() {
        return promptTokens + completionTokens;
    }

    /** Returns the budget that is charged. */
    @JsonIgnore
    public BudgetKey budgetKey() {
        return new BudgetKey(key.organisation(), budget);
    }
}
