package org.hornbeampass.state.service;

import java.util.List;

/**
 * One accepted configuration, whole.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param version the operators' number of it, which only grows
 * @param routes all routes
 * @param services all services
 * @param organisations all organisations; empty where callers need no key
 * @param limits what callers may send
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
