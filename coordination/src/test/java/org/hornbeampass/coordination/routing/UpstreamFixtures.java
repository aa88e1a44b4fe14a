package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.upstream.Placement;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.LoadReport;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Creates configurations, reports and queries for small groups of upstreams; stateless. */
public final class UpstreamFixtures {
    /** The model of all runners. */
    public static final ModelId MODEL = new ModelId("flight-desk");

    /** The plain service. */
    public static final String SERVICE = "booking";

    private static final int DOMAINS = 3;

    private UpstreamFixtures() {}

    /** Returns the placement of VM {@code vm-0} in failure domain {@code d0}. */
    public static Placement placement() {
        return new Placement("vm-0", new FailureDomain("d0"), new Region("r"));
    }

    /** Returns the identity of runner {@code n}, which is in failure domain {@code n mod 3}. */
    public static UpstreamId runner(int n) {
        return new UpstreamId("runner-" + n);
    }

    /** Returns the settings of one runner. */
    public static UpstreamSpec spec(int n, int maxConcurrent) {
        return new UpstreamSpec(
                runner(n),
                "http://127.0.0.1:" + (9000 + n),
                Optional.of(MODEL),
                Optional.empty(),
                new FailureDomain("d" + n % DOMAINS),
                new Region("r"),
                true,
                maxConcurrent);
    }

    /** Returns a configuration of runners. */
    public static ConfigSnapshot config(long revision, int runners, int maxConcurrent) {
        Map<UpstreamId, UpstreamSpec> upstreams =
                IntStream.range(0, runners)
                        .mapToObj(n -> spec(n, maxConcurrent))
                        .collect(Collectors.toMap(UpstreamSpec::id, s -> s));
        return new ConfigSnapshot(revision, Map.of(), Map.of(), upstreams);
    }

    /** Returns a query for the model. */
    public static RoutingQuery query() {
        return query(WorkTarget.model(MODEL), PrefixDigests.none());
    }

    /** Returns a query for a target. */
    public static RoutingQuery query(WorkTarget target, PrefixDigests prefix) {
        return new RoutingQuery(
                target, new OrganisationId("org"), 5, prefix, Set.of(), Deadline.none());
    }

    /** Returns a report of a runner that has the model ready. */
    public static LoadReport report(long reportedAtMs, long incarnation, int load) {
        return new LoadReport(
                reportedAtMs, incarnation, load, 0, 0, false, Set.of(MODEL), Set.of());
    }

    /** Returns a report of a runner that is leaving. */
    public static LoadReport leaving(long reportedAtMs, long incarnation) {
        return new LoadReport(reportedAtMs, incarnation, 0, 0, 0, true, Set.of(MODEL), Set.of());
    }
}
