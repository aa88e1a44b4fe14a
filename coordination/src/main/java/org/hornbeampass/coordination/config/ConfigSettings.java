package org.hornbeampass.coordination.config;

import java.time.Duration;

/**
 * The intervals and bounds of the configuration's spread.
 *
 * <p>Times are in milliseconds unless typed. Immutable; safe for use by any thread.
 *
 * @param pullTimeoutMs how long a peer's reply may take
 * @param maxWatchWait how long one watch on the platform's log waits
 * @param retryDelayMs how long to wait before a failed platform call or pull is repeated
 * @param pollIntervalMs how often a VM that does not watch reads the platform's log
 * @param proposalTimeoutMs how long a proposal may stay open before it is answered as unknown
 * @param retainedEntries how many of the newest changes a VM keeps for its peers
 * @param maxPullBytes the largest size of the changes in one reply to a pull
 * @param changesPerSnapshot how many changes lie between two snapshots on the platform
 * @param reportIntervalMs how often a VM reports its revision even where it did not change
 * @param minStartPeers how many peers must answer before a VM that can't reach the platform is
 *     ready
 */
public record ConfigSettings(
        long pullTimeoutMs,
        Duration maxWatchWait,
        long retryDelayMs,
        long pollIntervalMs,
        long proposalTimeoutMs,
        int retainedEntries,
        int maxPullBytes,
        int changesPerSnapshot,
        long reportIntervalMs,
        int minStartPeers) {
    /** Returns the settings for a fleet of 8 to 390 VMs. */
    public static ConfigSettings defaults() {
        return new ConfigSettings(
                1_000,
                Duration.ofSeconds(20),
                1_000,
                60_000,
                30_000,
                1_024,
                65_536,
                256,
                30_000,
                3);
    }
}
