package org.hornbeampass.coordination.config;

import java.time.Duration;

/**
 * Intervals and limits for distributing the configuration.
 *
 * <p>Times are in milliseconds unless typed. Immutable; safe for use by any thread.
 *
 * @param pullTimeoutMs how long to wait for a peer's reply
 * @param maxWatchWait how long one watch on the platform's log waits for a change
 * @param retryDelayMs how long to wait before a failed platform call or pull is retried
 * @param pollIntervalMs how often a VM that does not watch the log reads it
 * @param proposalTimeoutMs how long a proposal may be pending before it fails with {@code
 *     OUTCOME_UNKNOWN}
 * @param retainedEntries how many of the most recent changes a VM keeps for its peers
 * @param maxPullBytes the maximum size of the changes in one reply to a pull, in bytes
 * @param changesPerSnapshot how many changes there are between two snapshots on the platform
 * @param reportIntervalMs how often a VM reports its revision when it has not changed
 * @param minStartPeers how many ready peers must answer before a VM that can't reach the platform
 *     becomes ready
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
