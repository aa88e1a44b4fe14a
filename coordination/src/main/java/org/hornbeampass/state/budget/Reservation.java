package org.hornbeampass.state.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.RequestId;

import java.util.Objects;

/**
 * The maximum tokens of one request, reserved from a grant until the request is settled or
 * cancelled.
 *
 * <p>A reservation belongs to the VM that made it and is kept through all attempts of the request
 * there. Immutable and thread-safe.
 *
 * @param key the budget
 * @param request the request
 * @param tokens the reserved tokens, positive
 * @param number unique on the VM that made the reservation
 */
public record Reservation(BudgetKey key, RequestId request, long tokens, long number) {
    /** Checks that the budget and the request are not null. */
    public Reservation {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }
}
