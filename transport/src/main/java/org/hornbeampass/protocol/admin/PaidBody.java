package org.hornbeampass.protocol.admin;

import java.util.OptionalLong;

/**
 * What is to be paid for a budget in all.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param paid the total
 * @param expectedPaid what must be paid now, so that no top-up is overwritten; empty for any
 */
public record PaidBody(long paid, OptionalLong expectedPaid) {
    /** Takes what is absent as empty. */
    public PaidBody {
        expectedPaid = expectedPaid == null ? OptionalLong.empty() : expectedPaid;
    }
}
