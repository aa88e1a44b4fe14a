package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What was billed to one budget since the beginning.
 *
 * <p>Invariant: no part is negative; sums that would overflow throw. Immutable; safe for use by any
 * thread.
 *
 * @param bills how many bills stand; a raised bill is one bill
 * @param tokens their tokens; of a raised bill the raised amount, once
 * @param duplicates how many further attempts there were of billed requests
 * @param duplicateTokens the tokens of these attempts that were not charged
 * @param late how many bills came too late to be told from repeated ones, and were not charged
 * @param lateTokens the tokens that these used
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BudgetTotals(
        long bills,
        long tokens,
        long duplicates,
        long duplicateTokens,
        long late,
        long lateTokens) {
    /** Nothing billed. */
    public static final BudgetTotals ZERO = new BudgetTotals(0, 0, 0, 0, 0, 0);

    /** Returns the totals of one bill that stands. */
    public static BudgetTotals ofBilled(long billedTokens) {
        return new BudgetTotals(1, billedTokens, 0, 0, 0, 0);
    }

    /** Returns the totals of one further attempt that is not charged. */
    public static BudgetTotals ofDuplicate(long usedTokens) {
        return new BudgetTotals(0, 0, 1, usedTokens, 0, 0);
    }

    /** Returns the totals of one further attempt that raised its request's bill. */
    public static BudgetTotals ofRaised(long usedTokens, long chargedTokens) {
        return new BudgetTotals(0, chargedTokens, 1, usedTokens - chargedTokens, 0, 0);
    }

    /** Returns the totals of one late bill that is not charged. */
    public static BudgetTotals ofLate(long usedTokens) {
        return new BudgetTotals(0, 0, 0, 0, 1, usedTokens);
    }

    /** Returns both together. */
    public BudgetTotals plus(BudgetTotals other) {
        return new BudgetTotals(
                Math.addExact(bills, other.bills),
                Math.addExact(tokens, other.tokens),
                Math.addExact(duplicates, other.duplicates),
                Math.addExact(duplicateTokens, other.duplicateTokens),
                Math.addExact(late, other.late),
                Math.addExact(lateTokens, other.lateTokens));
    }
}
