package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.HomeRegions;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * An index over a configuration for look-ups by host, path, key and name.
 *
 * <p>Invariant: a look-up returns the route with the longest matching path prefix of the host.
 * Immutable; safe for use by any thread.
 */
public final class RouteTable {
    private final FleetConfig mConfig;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, PrepaidOrganisation> mOrganisationsByKey = new HashMap<>();
    private final Map<String, PrepaidOrganisation> mOrganisations = new HashMap<>();
    private final Map<String, ServiceSpec> mServices = new HashMap<>();

    /** Builds the index of a configuration. */
    public RouteTable(FleetConfig config) {
        mConfig = config;
        for (Route route : config.routes()) {
            mRoutesByHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        mRoutesByHost.values().forEach(routes -> routes.sort(longestFirst));
        for (PrepaidOrganisation organisation : config.organisations()) {
            mOrganisations.put(organisation.name(), organisation);
            organisation.keys().forEach(k -> mOrganisationsByKey.put(k, organisation));
        }
        config.services().forEach(s -> mServices.put(s.name(), s));
    }

    /** Returns the indexed configuration. */
    public FleetConfig config() {
        return mConfig;
    }

    /** Returns whether callers must send keys on routes that are not open. */
    public boolean checksKeys() {
        return !mOrganisations.isEmpty();
    }

    /**
     * Finds the route of a request.
     *
     * @param host the requested host, with or without a port
     * @param path the path without its query
     */
    public Optional<Route> route(String host, String path) {
        int port = host.indexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        for (Route route : mRoutesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the regions in which requests of all restricted routes of a host may run. */
    public HomeRegions homesOf(String host) {
        HomeRegions homes = HomeRegions.ANY;
        for (Route route : mRoutesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            homes = homes.and(route.homes());
        }
        return homes;
    }

    /** Finds the organisation to which a key belongs. */
    public Optional<PrepaidOrganisation> organisationOf(String key) {
        return Optional.ofNullable(mOrganisationsByKey.get(key));
    }

    /** Finds an organisation by its name. */
    public Optional<PrepaidOrganisation> organisation(String name) {
        return Optional.ofNullable(mOrganisations.get(name));
    }

    /** Finds a service by its name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Chooses the service of one request at random in proportion to the targets' weights; empty
     * where all weights are 0.
     */
    public Optional<ServiceSpec> pickService(Route route, RandomGenerator random) {
        int total = route.targets().stream().mapToInt(Route.Target::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        int draw = random.nextInt(total);
        for (Route.Target target : route.targets()) {
            draw -= target.weight();
            if (draw < 0) {
                return service(target.service());
            }
        }
        return Optional.empty();
    }
}
