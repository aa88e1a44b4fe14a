package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;

/**
 * What was billed to one budget since the beginning.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param budget the budget
 * @param bills how many bills stand
 * @param tokens their tokens
 * @param duplicates how many further attempts of billed requests were not charged
 * @param duplicateTokens the tokens that these used
 * @param late how many bills came too late to be told from repeated ones, and were not charged
 * @param lateTokens the tokens that these used
 */
public record UsageLine(
        BudgetId budget,
        long bills,
        long tokens,
        long duplicates,
        long duplicateTokens,
        long late,
        long lateTokens) {}
