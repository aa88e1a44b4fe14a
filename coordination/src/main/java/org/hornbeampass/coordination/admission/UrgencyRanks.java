package org.hornbeampass.coordination.admission;

import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The order that operators give to requests: the organisation's priority before the route's, as
 * dense ranks of the pairs in one configuration, spread over the urgencies 0 to 9.
 *
 * <p>Requests of nobody, on routes that need no key, have an organisation's priority of 0. With
 * more than ten pairs, neighbouring ranks share an urgency. Immutable; safe for use by any thread.
 */
public final class UrgencyRanks {
    /** The organisation's priority of requests without an organisation. */
    private static final int NOBODY_PRIORITY = 0;

    private static final Comparator<Pair> ORDER =
            Comparator.comparingInt(Pair::organisation).thenComparingInt(Pair::route);

    private final TreeMap<Pair, UrgencySteps> mSteps = new TreeMap<>(ORDER);

    /** The priorities of an organisation and of a route; 0 is the most urgent. */
    private record Pair(int organisation, int route) {}

    private UrgencyRanks(FleetConfig config, Predicate<ServiceSpec> ofInterest) {
        Set<String> services =
                config.services().stream()
                        .filter(ofInterest)
                        .map(ServiceSpec::name)
                        .collect(Collectors.toSet());
        config.routes().stream()
                .filter(r -> r.targets().stream().anyMatch(t -> services.contains(t.service())))
                .forEach(r -> addPairs(config, r));
        int rank = 0;
        int ranks = mSteps.size();
        for (var entry : mSteps.entrySet()) {
            int first = rank * UrgencySteps.URGENCIES / ranks;
            rank++;
            entry.setValue(
                    new UrgencySteps(
                            first, Math.max(1, rank * UrgencySteps.URGENCIES / ranks - first)));
        }
    }

    /** Returns the ranks of all requests for services with engines. */
    public static UrgencyRanks ofEngines(FleetConfig config) {
        return new UrgencyRanks(config, s -> s.engine().isPresent());
    }

    /** Returns the ranks of all requests. */
    public static UrgencyRanks ofAll(FleetConfig config) {
        return new UrgencyRanks(config, s -> true);
    }

    private void addPairs(FleetConfig config, Route route) {
        UrgencySteps unranked = new UrgencySteps(0, UrgencySteps.URGENCIES);
        if (route.allowsAnonymous() || config.organisations().isEmpty()) {
            mSteps.put(new Pair(NOBODY_PRIORITY, route.priority()), unranked);
            return;
        }
        for (PrepaidOrganisation organisation : config.organisations()) {
            mSteps.put(new Pair(organisation.priority(), route.priority()), unranked);
        }
    }

    /**
     * Returns the urgencies of a request; empty where the configuration orders no requests, so that
     * the length of the prompt alone decides. A pair that is not in this configuration, such as
     * that of a request that began under an earlier one, has the rank of the next more urgent one.
     *
     * @param organisation who pays for the request; empty where nobody does
     * @param route the request's route
     */
    public Optional<UrgencySteps> of(Optional<PrepaidOrganisation> organisation, Route route) {
        if (mSteps.size() <= 1) {
            return Optional.empty();
        }
        int priority = organisation.map(PrepaidOrganisation::priority).orElse(NOBODY_PRIORITY);
        Pair pair = new Pair(priority, route.priority());
        return Optional.ofNullable(mSteps.floorEntry(pair))
                .or(() -> Optional.of(mSteps.firstEntry()))
                .map(e -> e.getValue());
    }
}
