package org.hornbeampass.coordination.upstream;

/**
 * A VM's settings for routing.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param subsetSize the largest number of upstreams of one model that a VM sends to
 * @param maxCachedBlocks the largest number of blocks per upstream that the estimate of its cache
 *     holds
 * @param adaptiveLimits whether concurrency limits per upstream adapt to the latency gradient
 */
public record RoutingSettings(int subsetSize, int maxCachedBlocks, boolean adaptiveLimits) {
    private static final int DEFAULT_SUBSET_SIZE = 64;
    private static final int DEFAULT_MAX_CACHED_BLOCKS = 2_048;

    /** Checks the bounds. */
    public RoutingSettings {
        if (subsetSize < 1 || maxCachedBlocks < 1) {
            throw new IllegalArgumentException("subsetSize and maxCachedBlocks must be positive");
        }
    }

    /** Returns the default settings. */
    public static RoutingSettings defaults() {
        return new RoutingSettings(DEFAULT_SUBSET_SIZE, DEFAULT_MAX_CACHED_BLOCKS, true);
    }
}
