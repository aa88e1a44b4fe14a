package org.hornbeampass.router.relay;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.relay.CallerConnection;

import java.util.Optional;

/**
 * Decides whether this VM takes in a new request.
 *
 * <p>Confined to one event loop.
 */
interface Intake {
    /**
     * Refuses a request whatever its organisation is, before anything else is looked up.
     *
     * @param nowMs the present time in milliseconds
     * @param caller the connection, which is closed after a refusal where that helps
     * @param id the caller's id of the request
     * @return the failure to answer with; empty if the request may be taken in
     */
    Optional<Failure> refuse(long nowMs, CallerConnection caller, String id, Route route);

    /** Refuses a request of an organisation, which is empty if none pays. */
    Optional<Failure> refuse(
            long nowMs,
            CallerConnection caller,
            String id,
            Route route,
            Optional<PrepaidOrganisation> organisation);
}
