package org.hornbeampass.state.service;

import java.util.Optional;

/**
 * A group of upstreams that serve the same requests.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param connectionLimit the maximum number of connections of all VMs together to one upstream
 * @param engine the capacity of its model engines; empty for a plain service
 */
public record ServiceSpec(String name, int connectionLimit, Optional<Engine> engine) {
    /**
     * The capacity of a model engine.
     *
     * @param slots how many requests run concurrently
     * @param cacheTokens the capacity of its KV cache in tokens
     * @param tokensPerEvent the maximum number of tokens in one event of a stream
     */
    public record Engine(int slots, long cacheTokens, int tokensPerEvent) {}
}
