package org.hornbeampass.router.flow;

import java.util.Objects;

/**
 * The ports through which one request's flow acts on the rest of the router.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param admission the admission queue
 * @param budget the budget that the request is paid from
 * @param bills the billing of the request
 * @param upstreams the upstreams that the request may be sent to
 * @param caller the caller of the request
 * @param timers runs the deadline and retry timers
 * @param observer receives the milestones of the request
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
