package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;

/**
 * Decides whether a VM takes in a new request, by how late its event loop is: a VM that is asked
 * for more than its processor can do refuses at once what it would serve late, and spends its time
 * on the requests and answers that it has.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class IntakeGate {
    /** The delay below which all requests are taken in, in milliseconds. */
    static final long MIN_DELAY_MS = 150;

    /** The share of a route's objective that may pass before a request is handled. */
    private static final double OBJECTIVE_SHARE = 0.5;

    private IntakeGate() {}

    /** Returns whether a request on a route is taken in at a delay of the event loop. */
    static boolean admits(Route route, long loopDelayMs) {
        return loopDelayMs < Math.max(MIN_DELAY_MS, OBJECTIVE_SHARE * route.objectiveMs());
    }
}
