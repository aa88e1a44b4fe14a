package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;

/**
 * What an organisation used of one model or service from one budget.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param budget the budget that was drawn on
 * @param target the model or the plain service
 * @param requests how many bills there are
 * @param promptTokens tokens of all prompts
 * @param completionTokens tokens of all answers
 */
public record UsageLine(
        BudgetId budget, String target, long requests, long promptTokens, long completionTokens) {
    /** Returns the tokens that are billed. */
    public long tokens() {
        return promptTokens + completionTokens;
    }
}
