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
 * @param slowStart the rate limit of an upstream that has just started; empty where there is none
 */
public record ServiceSpec(
        String name, int connectionLimit, Optional<Engine> engine, Optional<SlowStart> slowStart) {
    /** Creates a service whose upstreams take their full load from the start. */
    public ServiceSpec(String name, int connectionLimit, Optional<Engine> engine) {
        this(name, connectionLimit, engine, Optional.empty());
    }

    /**
     * The slow start of an upstream.
     *
     * @param durationMs how long it lasts after a start, in milliseconds
     * @param perSecond how many requests per second an upstream takes from all VMs meanwhile
     */
    public record SlowStart(long durationMs, double perSecond) {}

    /**
     * The capacity of a model engine.
     *
     * @param slots how many requests run concurrently
     * @param cacheTokens the capacity of its KV cache in tokens
     * @param tokensPerEvent the maximum number of tokens in one event of a stream
     */
    public record Engine(int slots, long cacheTokens, int tokensPerEvent) {}
}
