package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The totals billed to one budget since it was created.
 *
 * <p>Invariant: no component is negative; sums that would overflow throw. Immutable; safe for use
 * by any thread.
 *
 * @param bills the number of charged bills; a raised bill counts once
 * @param tokens the tokens of these bills; a raised bill counts with the raised amount, once
 * @param duplicates the number of further attempts of billed requests
 * @param duplicateTokens the tokens of these attempts that were not charged
 * @param late the number of bills that arrived too late to be distinguished from repeated ones, and
 *     were not charged
 * @param lateTokens the tokens of these late bills
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BudgetTotals(
        long bills,
        long tokens,
        long duplicates,
        long duplicateTokens,
        long late,
        long lateTokens) {
    /** Totals of a budget to which nothing was billed. */
    public static final BudgetTotals ZERO = new BudgetTotals(0, 0, 0, 0, 0, 0);

    /** Returns the totals of one charged bill. */
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

    /** Returns the sum of these totals and {@code other}. */
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
