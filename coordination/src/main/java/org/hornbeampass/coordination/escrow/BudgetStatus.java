package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The state of one budget as known to a VM that reads the store, sent to other VMs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param prepaid the size of the whole budget, in tokens
 * @param spent the tokens that were reported as spent
 * @param heardAgoMs the time since the store last replied to the sender, in milliseconds; {@link
 *     #NEVER_RECEIVED} if it never did
 * @param storeLost whether the store is currently unreachable from the sender
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BudgetStatus(long prepaid, long spent, long heardAgoMs, boolean storeLost) {
    /** The value of {@code heardAgoMs} if the store has never replied. */
    static final long NEVER_RECEIVED = -1;

    /** The status of a budget about which nothing is known. */
    static final BudgetStatus UNKNOWN = new BudgetStatus(0, 0, NEVER_RECEIVED, false);

    boolean known() {
        return heardAgoMs != NEVER_RECEIVED;
    }
}
