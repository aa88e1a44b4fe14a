package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses one of the upstreams that may get a request.
 *
 * <p>Confined to the thread of the {@link UpstreamRegistry}.
 */
interface UpstreamSelector {
    /** Returns whether it needs models of the upstreams. */
    boolean learns();

    /**
     * Chooses an upstream; empty where there is none that was not tried.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service
     * @param prompt the request's prompt
     * @param tried upstreams that must not be chosen
     * @param instances the upstreams that may get the request
     */
    Optional<UpstreamChoice> choose(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            Set<String> tried,
            List<UpstreamInstance> instances);
}
