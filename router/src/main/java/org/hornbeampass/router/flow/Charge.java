package org.hornbeampass.router.flow;

import java.util.Objects;

/**
 * The result of a bill, and how many tokens of the request's reservation to settle for it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param result the result of the bill
 * @param tokens the number of tokens to settle: the full amount of the bill, the difference if it
 *     raised an earlier bill, or 0 for a duplicate
 */
public record Charge(BillResult result, long tokens) {
    /** Checks that the result is present and the number of tokens is not negative. */
    public Charge {
        Objects.requireNonNull(result, "result");
        if (tokens < 0) {
            throw new IllegalArgumentException("a charge must not be negative");
        }
    }

    /**
     * Returns a charge of the full amount, for a bill without a known earlier bill of the same
     * request.
     */
    public static Charge ofFullBill(BillResult result, BillAmount bill) {
        return new Charge(result, bill.totalTokens());
    }
}
