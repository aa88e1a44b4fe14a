package org.hornbeampass.state.requests;

import java.util.Objects;

/**
 * What an attempt's bill was decided to be, and what of it the attempt has to settle.
 *
 * <p>Invariant: the charges of all attempts of one remembered request sum to its bill, which is the
 * largest amount that any of them used. Immutable; safe for use by any thread.
 *
 * @param outcome what came of the bill
 * @param tokens what the attempt settles from its reservation: all where it was billed first, the
 *     difference where it raised the bill, and nothing for a duplicate
 */
public record BillCharge(BillOutcome outcome, long tokens) {
    /** Checks the parts. */
    public BillCharge {
        Objects.requireNonNull(outcome, "outcome");
        if (tokens < 0 || (tokens > 0 && outcome == BillOutcome.DUPLICATE)) {
            throw new IllegalArgumentException("a duplicate is charged nothing, others not less");
        }
    }
}
