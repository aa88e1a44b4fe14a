package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.state.Failure;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides how a request is refused that no upstream of its service accepts at present: by what
 * keeps it from them, since that determines when a retry can succeed.
 *
 * <p>Stateless; confined to the thread of the registry.
 */
final class UnavailableService {
    private UnavailableService() {}

    /**
     * Returns the failure of a request that was not sent.
     *
     * @param nowMs the present time in milliseconds
     * @param upstreams the upstreams
     * @param plan the request
     * @param random spreads the retries of callers that are refused at the same time
     */
    static Failure refusal(
            long nowMs, UpstreamRegistry upstreams, RelayPlan plan, RandomGenerator random) {
        String service = plan.service().name();
        if (upstreams.isEvacuated(nowMs, service, plan.homes())) {
            return Refusals.evacuated(random);
        }
        OptionalLong pauseLeftMs = upstreams.requestedPauseLeftMs(nowMs, service);
        if (pauseLeftMs.isPresent()) {
            return Refusals.upstreamsPaused(pauseLeftMs.getAsLong());
        }
        OptionalLong closedForMs = upstreams.unavailableForMs(nowMs, service);
        return closedForMs.isPresent()
                ? Refusals.rateLimited(closedForMs.getAsLong(), random)
                : Refusals.noUpstream("no upstream accepts requests at present");
    }
}
