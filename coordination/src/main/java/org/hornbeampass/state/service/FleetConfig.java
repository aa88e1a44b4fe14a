package org.hornbeampass.state.service;

import java.util.List;

/**
 * One complete accepted configuration of a fleet.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param version the version that operators gave it, which only increases
 * @param routes all routes
 * @param services all services
 * @param organisations all organisations; empty if callers need no key
 * @param limits the limits on what callers send
 */
public record FleetConfig(
        long version,
        List<Route> routes,
        List<ServiceSpec> services,
        List<PrepaidOrganisation> organisations,
        CallerLimits limits) {
    /** Copies the lists. */
    public FleetConfig {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        organisations = List.copyOf(organisations);
    }
}
