package org.hornbeampass.state.service;

import java.util.Optional;

/**
 * A group of upstreams that serve the same requests.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param connectionLimit how many connections one upstream takes from all VMs together
 * @param engine the figures of its model engine; empty for a plain service
 */
public record ServiceSpec(String name, int connectionLimit, Optional<Engine> engine) {
    /**
     * The figures of a model engine.
     *
     * @param slots how many requests run at once
     * @param cacheTokens for how many tokens it has memory
     * @param tokensPerEvent how many tokens one event of a stream holds at most
     */
    public record Engine(int slots, long cacheTokens, int tokensPerEvent) {}
}
