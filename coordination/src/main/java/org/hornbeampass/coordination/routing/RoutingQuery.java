package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The parameters for choosing the upstream of one attempt.
 *
 * <p>The VM's own failure domain is taken from the table. Immutable; safe for use by any thread.
 *
 * @param target the requested model or service
 * @param organisation the organisation that sent the request
 * @param priority from 0 (first to be shed) to 9 (last to be shed); forwarded to the engine
 * @param prefix the digests of the prompt's blocks
 * @param excluded the upstreams of earlier attempts, which are not chosen again
 * @param deadline when the answer is due
 */
public record RoutingQuery(
        WorkTarget target,
        OrganisationId organisation,
        int priority,
        PrefixDigests prefix,
        Set<UpstreamId> excluded,
        Deadline deadline) {
    /** Rejects null components and copies the set. */
    public RoutingQuery {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(deadline, "deadline");
        excluded = Set.copyOf(excluded);
    }

    /** Returns the query for the next attempt after one at {@code upstream} has failed. */
    public RoutingQuery excluding(UpstreamId upstream) {
        Set<UpstreamId> more = new HashSet<>(excluded);
        more.add(upstream);
        return new RoutingQuery(target, organisation, priority, prefix, more, deadline);
    }
}
