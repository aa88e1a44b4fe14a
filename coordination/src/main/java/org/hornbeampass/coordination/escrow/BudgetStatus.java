package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What a VM that exchanges with the store tells of one budget.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prepaid the whole budget, in tokens
 * @param spent how many of them were reported spent
 * @param heardAgoMs how long ago the store was heard, in milliseconds; {@link #NEVER_RECEIVED}
 *     where it was not
 * @param storeLost whether the store can't be reached there now
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BudgetStatus(long prepaid, long spent, long heardAgoMs, boolean storeLost) {
    /** The age where the store was never heard. */
    static final long NEVER_RECEIVED = -1;

    /** Nothing is known. */
    static final BudgetStatus UNKNOWN = new BudgetStatus(0, 0, NEVER_RECEIVED, false);

    boolean known() {
        return heardAgoMs != NEVER_RECEIVED;
    }
}
