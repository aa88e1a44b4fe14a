package org.hornbeampass.experiment.fleet;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.util.List;

/**
 * How large a fleet is and what stands behind it.
 *
 * <p>Routers and upstreams are spread evenly over the failure domains. Immutable; safe for use by
 * any thread.
 *
 * @param region the region that holds all failure domains
 * @param domains the failure domains
 * @param routers the number of routers
 * @param model the model that the engines serve
 * @param engines the number of engines
 * @param service the name of the plain service
 * @param services the number of its instances
 * @param stepMs how long an engine's step takes, in milliseconds
 */
public record FleetSpec(
        Region region,
        List<FailureDomain> domains,
        int routers,
        String model,
        int engines,
        String service,
        int services,
        double stepMs) {
    /** Copies the list. */
    public FleetSpec {
        domains = List.copyOf(domains);
    }

    /** Returns the flight desk at today's size, with fewer routers than it has VMs. */
    public static FleetSpec flightDesk(int routers) {
        return new FleetSpec(
                new Region("sicily"),
                List.of(
                        new FailureDomain("catania"),
                        new FailureDomain("siracusa"),
                        new FailureDomain("ragusa")),
                routers,
                "flight-desk",
                6,
                "booking",
                3,
                4);
    }

    /** Returns the moulding utility at today's size, with as many routers as asked for. */
    public static FleetSpec mouldingUtility(int routers) {
        return new FleetSpec(
                new Region("colombo"),
                List.of(
                        new FailureDomain("fort"),
                        new FailureDomain("borella"),
                        new FailureDomain("kelaniya")),
                routers,
                "flow-review",
                13,
                "job-records",
                3,
                3);
    }

    /** Returns the failure domain of the nth router or upstream. */
    public FailureDomain domain(int n) {
        return domains.get(n % domains.size());
    }
}
