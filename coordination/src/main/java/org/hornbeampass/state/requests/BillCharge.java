package org.hornbeampass.state.requests;

import java.util.Objects;

/**
 * The outcome of an attempt's bill, and how many tokens the attempt has to settle.
 *
 * <p>Invariant: the charges of all attempts of one remembered request add up to its bill, which is
 * the largest amount that any of them used. Immutable; safe for use by any thread.
 *
 * @param outcome the outcome of the bill
 * @param tokens how many tokens the attempt settles from its reservation: all of them if it is the
 *     first to be billed, the difference if it raised the bill, and 0 for a duplicate
 */
public record BillCharge(BillOutcome outcome, long tokens) {
    /** Checks that the charge is not negative, and 0 for a duplicate. */
    public BillCharge {
        Objects.requireNonNull(outcome, "outcome");
        if (tokens < 0 || (tokens > 0 && outcome == BillOutcome.DUPLICATE)) {
            throw new IllegalArgumentException(
                    "a charge must not be negative, and 0 for a duplicate");
        }
    }
}
