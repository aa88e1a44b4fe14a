package org.hornbeampass.coordination.capacity;

import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The backlog of a VM at which it refuses a request, by the urgency of the request, for a VM whose
 * callers ask for more than it can do.
 *
 * <p>The priority of the organisation comes before that of the route. Invariants: no limit is above
 * a quarter of the route's objective, or {@link #MIN_LIMIT_MS} where that is larger; the limit of a
 * request is at most that of any more urgent one, so that the most urgent requests are refused
 * last. Immutable; safe for use by any thread.
 */
public final class IntakeLimits {
    /** The share of a route's objective that the backlog may use up. */
    static final double OBJECTIVE_SHARE = 0.25;

    /**
     * The smallest limit in milliseconds. A VM that has a part of a core waits for its next slice
     * of processor time for so long without any backlog.
     */
    static final double MIN_LIMIT_MS = 20;

    /** How much lower the limit of the least urgent requests is, as a share of the limit. */
    private static final double SPREAD = 0.8;

    private static final Comparator<Urgency> MOST_URGENT_FIRST =
            Comparator.comparingInt(Urgency::organisation).thenComparingInt(Urgency::route);

    private final int mTopOrganisation;
    private final List<Route> mRoutes;

    /** The limits in milliseconds, by the name of the route and the organisation's priority. */
    private final Map<String, Map<Integer, Double>> mLimitsMs = new HashMap<>();

    /** The priorities that decide how urgent a request is; 0 is the most urgent. */
    private record Urgency(int organisation, int route) {}

    /** Derives the limits from a configuration. */
    public IntakeLimits(FleetConfig config) {
        SortedSet<Integer> organisations = new TreeSet<>();
        config.organisations().forEach(o -> organisations.add(o.priority()));
        if (organisations.isEmpty()) {
            organisations.add(0);
        }
        mTopOrganisation = organisations.first();
        mRoutes = config.routes();
        List<Urgency> urgencies =
                organisations.stream()
                        .flatMap(o -> mRoutes.stream().map(r -> new Urgency(o, r.priority())))
                        .distinct()
                        .sorted(MOST_URGENT_FIRST)
                        .toList();
        for (Route route : mRoutes) {
            Map<Integer, Double> limitsMs = new HashMap<>();
            organisations.forEach(o -> limitsMs.put(o, limitMs(route, o, urgencies)));
            mLimitsMs.put(route.name(), limitsMs);
        }
    }

    /**
     * Returns the backlog in milliseconds from which a request is refused.
     *
     * @param route the request's route, which must be one of the configuration
     * @param organisation the organisation that pays, which must be one of the configuration; where
     *     there is none, the priority of the route alone decides
     */
    public double limitMs(Route route, Optional<PrepaidOrganisation> organisation) {
        int priority = organisation.map(PrepaidOrganisation::priority).orElse(mTopOrganisation);
        return mLimitsMs.get(route.name()).get(priority);
    }

    /**
     * Returns the largest limit of a route in milliseconds: a longer backlog refuses its requests
     * whatever their organisations are.
     */
    public double largestLimitMs(Route route) {
        return limitMs(route, Optional.empty());
    }

    private double limitMs(Route route, int organisation, List<Urgency> urgencies) {
        Urgency urgency = new Urgency(organisation, route.priority());
        double shortestMs = (double) route.objectiveMs();
        for (Route each : mRoutes) {
            Urgency mostUrgent = new Urgency(mTopOrganisation, each.priority());
            if (MOST_URGENT_FIRST.compare(mostUrgent, urgency) < 0) {
                shortestMs = Math.min(shortestMs, (double) each.objectiveMs());
            }
        }
        double factor = 1 - SPREAD * urgencies.indexOf(urgency) / Math.max(1, urgencies.size() - 1);
        return Math.max(MIN_LIMIT_MS, OBJECTIVE_SHARE * factor * shortestMs);
    }
}
