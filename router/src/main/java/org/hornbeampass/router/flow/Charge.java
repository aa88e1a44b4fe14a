package org.hornbeampass.router.flow;

import java.util.Objects;

/**
 * What came of a bill, and what of it is settled from the request's reservation.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param result what came of the bill
 * @param tokens what is settled: the whole bill, the difference where it raised an earlier one, or
 *     nothing for a duplicate
 */
public record Charge(BillResult result, long tokens) {
    /** Checks the parts. */
    public Charge {
        Objects.requireNonNull(result, "result");
        if (tokens < 0) {
            throw new IllegalArgumentException("a charge must not be negative");
        }
    }

    /** Returns the charge of a bill that is not known to be preceded by another. */
    public static Charge ofFullBill(BillResult result, BillAmount bill) {
        return new Charge(result, bill.totalTokens());
    }
}
