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
 * One attempt that needs an upstream.
 *
 * <p>The VM's own failure domain is that of the table. Immutable; safe for use by any thread.
 *
 * @param target what is asked for
 * @param organisation who asks
 * @param priority from 0 (first to be shed) to 9 (last to be shed), sent on to the engine
 * @param prefix the prompt's digests
 * @param excluded upstreams of earlier attempts, which are not chosen again
 * @param deadline when the answer is due
 */
public record RoutingQuery(
        WorkTarget target,
        OrganisationId organisation,
        int priority,
        PrefixDigests prefix,
        Set<UpstreamId> excluded,
        Deadline deadline) {
    /** Copies the set. */
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
