package org.hornbeampass.router.flow;

import java.util.Objects;

/**
 * The ports of one request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param admission the queue that it passes first
 * @param budget its budget
 * @param bills its bill
 * @param upstreams where it may go
 * @param caller its caller
 * @param timers its timers
 * @param observer told of its milestones
 */
public record FlowPorts(
        AdmissionPort admission,
        BudgetPort budget,
        BillPort bills,
        UpstreamPort upstreams,
        CallerPort caller,
        TimerPort timers,
        FlowObserver observer) {
    /** Checks that no port is missing. */
    public FlowPorts {
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(bills, "bills");
        Objects.requireNonNull(upstreams, "upstreams");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(observer, "observer");
    }
}
