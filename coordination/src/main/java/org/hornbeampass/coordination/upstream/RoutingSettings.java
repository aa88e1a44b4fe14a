package org.hornbeampass.coordination.upstream;

/**
 * A VM's settings for routing.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param subsetSize the largest number of upstreams of one model that a VM sends to
 * @param maxCachedBlocks the largest number of cached blocks that are remembered per upstream
 * @param adaptiveLimits whether limits per upstream follow the latency gradient
 */
public record RoutingSettings(int subsetSize, int maxCachedBlocks, boolean adaptiveLimits) {
    private static final int DEFAULT_SUBSET_SIZE = 64;
    private static final int DEFAULT_MAX_CACHED_BLOCKS = 2_048;

    /** Checks the bounds. */
    public RoutingSettings {
        if (subsetSize < 1 || maxCachedBlocks < 1) {
            throw new IllegalArgumentException("subsetSize and maxBelievedBlocks must be positive");
        }
    }

    /** Returns the settings that hold where none are given. */
    public static RoutingSettings defaults() {
        return new RoutingSettings(DEFAULT_SUBSET_SIZE, DEFAULT_MAX_CACHED_BLOCKS, true);
    }
}
