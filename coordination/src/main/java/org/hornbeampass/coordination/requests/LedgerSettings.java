package org.hornbeampass.coordination.requests;

/**
 * How the request log is sharded and written; shards and retention must be the same on all VMs,
 * which {@link RequestLedger#readinessFailure} checks.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param shards the number of shards
 * @param retention how long ids are remembered
 * @param commit how entries are batched
 * @param backlog how many entries may wait
 * @param claimWaitMs how long a claim may take before it is refused, in milliseconds
 */
public record LedgerSettings(
        int shards, Retention retention, Commit commit, Backlog backlog, long claimWaitMs) {
    private static final int STANDARD_SHARDS = 16;
    private static final long STANDARD_CLAIM_WAIT_MS = 3_000;

    /**
     * How an owner batches entries.
     *
     * @param billIntervalMs the least time between two writes of a shard, in milliseconds
     * @param claimIntervalMs the same, where a claim waits
     * @param maxBatchBytes the largest batch, in bytes; also written at once when it is reached
     */
    public record Commit(long billIntervalMs, long claimIntervalMs, int maxBatchBytes) {
        /** Checks that each part is positive. */
        public Commit {
            if (billIntervalMs <= 0 || claimIntervalMs <= 0 || maxBatchBytes <= 0) {
                throw new IllegalArgumentException("commit settings must be positive");
            }
        }
    }

    /**
     * How much may wait on one VM.
     *
     * @param maxEntries above this many entries, new work is refused
     * @param maxBytes above this many bytes, new work is refused
     * @param maxOwnerEntries above this many entries of one shard, its owner refuses peers
     */
    public record Backlog(int maxEntries, long maxBytes, int maxOwnerEntries) {
        /** Checks that each part is positive. */
        public Backlog {
            if (maxEntries <= 0 || maxBytes <= 0 || maxOwnerEntries <= 0) {
                throw new IllegalArgumentException("backlog bounds must be positive");
            }
        }
    }

    /** Checks that each part is positive. */
    public LedgerSettings {
        if (shards <= 0 || claimWaitMs <= 0) {
            throw new IllegalArgumentException("shards and waits must be positive");
        }
    }

    /** Returns the settings for today's fleets of 8 VMs. */
    public static LedgerSettings standard() {
        return new LedgerSettings(
                STANDARD_SHARDS,
                Retention.standard(),
                new Commit(250, 50, 512 << 10),
                new Backlog(50_000, 32L << 20, 50_000),
                STANDARD_CLAIM_WAIT_MS);
    }
}
