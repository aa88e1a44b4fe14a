package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.state.service.HomeRegions;

import java.util.Optional;

/**
 * Decides right before a request is sent whether it may still be sent to the upstream that was
 * chosen for it, since a connection, a permit or the event loop may have taken long.
 *
 * <p>Immutable, apart from the version, which becomes known with a stream's first event; confined
 * to one event loop.
 *
 * @param upstreams the upstreams and where requests may run
 * @param homes the regions in which the request may run
 * @param version the software version at which the request must run
 * @param deadlineMs the time by which the request must be answered, in milliseconds
 */
record SendConditions(
        UpstreamRegistry upstreams, HomeRegions homes, StreamVersion version, long deadlineMs) {
    /** Returns whether the request's deadline has passed. */
    boolean isOverdue(long nowMs) {
        return nowMs >= deadlineMs;
    }

    /** Returns why the request may not be sent to an upstream now, for the log; empty if it may. */
    Optional<String> obstacle(long nowMs, UpstreamInstance instance) {
        if (isOverdue(nowMs)) {
            return Optional.of("the deadline has passed");
        }
        if (upstreams.evacuated().contains(instance.entry().domain())) {
            return Optional.of("the failure domain is evacuated");
        }
        if (!version.allows(instance)) {
            return Optional.of("the upstream runs another software version");
        }
        return upstreams.mayReceive(nowMs, instance, homes)
                ? Optional.empty()
                : Optional.of("the upstream accepts no requests");
    }
}
