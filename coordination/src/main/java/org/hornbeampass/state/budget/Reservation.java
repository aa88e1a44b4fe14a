package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.RequestId;

import java.util.Objects;

/**
 * The worst case of one request, set aside from a grant until it is settled or cancelled.
 *
 * <p>It belongs to the VM that made it and lives through all attempts of the request there.
 * Immutable; safe for use by any thread.
 *
 * @param key the budget
 * @param request the request
 * @param tokens the tokens set aside, positive
 * @param number unique on the VM that made it
 */
public record Reservation(BudgetKey key, RequestId request, long tokens, long number) {
    /** Checks that no part is missing. */
    public Reservation {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }
}
