package org.hornbeampass.coordination.requests;

/**
 * Settings of the request log. Shards and retention must be the same on all VMs, which {@link
 * RequestLedger#readinessFailure} checks.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param shards the number of shards
 * @param retention how long ids are remembered
 * @param commit how entries are batched
 * @param backlog how many entries may wait
 * @param claimWaitMs how long a claim may wait for its decision before it is rejected, in
 *     milliseconds
 */
public record LedgerSettings(
        int shards, Retention retention, Commit commit, Backlog backlog, long claimWaitMs) {
    private static final int STANDARD_SHARDS = 16;
    private static final long STANDARD_CLAIM_WAIT_MS = 3_000;

    /**
     * How the owner of a shard batches entries.
     *
     * @param billIntervalMs the minimum time between two writes of a shard, in milliseconds
     * @param claimIntervalMs the same if a claim is waiting, in milliseconds
     * @param maxBatchBytes the largest batch, in bytes; a batch that reaches it is written at once
     */
    public record Commit(long billIntervalMs, long claimIntervalMs, int maxBatchBytes) {
        /** Checks that each component is positive. */
        public Commit {
            if (billIntervalMs <= 0 || claimIntervalMs <= 0 || maxBatchBytes <= 0) {
                throw new IllegalArgumentException("commit settings must be positive");
            }
        }
    }

    /**
     * Limits on what may wait on one VM.
     *
     * @param maxEntries from this number of waiting entries on, new work is rejected
     * @param maxBytes from this number of waiting bytes on, new work is rejected
     * @param maxOwnerEntries above this number of waiting entries of one shard, its owner rejects
     *     those of peers
     */
    public record Backlog(int maxEntries, long maxBytes, int maxOwnerEntries) {
        /** Checks that each component is positive. */
        public Backlog {
            if (maxEntries <= 0 || maxBytes <= 0 || maxOwnerEntries <= 0) {
                throw new IllegalArgumentException("backlog bounds must be positive");
            }
        }
    }

    /** Checks that each component is positive. */
    public LedgerSettings {
        if (shards <= 0 || claimWaitMs <= 0) {
            throw new IllegalArgumentException("shards and waits must be positive");
        }
    }

    /** Returns the default settings, meant for a fleet of 8 VMs. */
    public static LedgerSettings standard() {
        return new LedgerSettings(
                STANDARD_SHARDS,
                Retention.standard(),
                new Commit(250, 50, 512 << 10),
                new Backlog(50_000, 32L << 20, 50_000),
                STANDARD_CLAIM_WAIT_MS);
    }
}
