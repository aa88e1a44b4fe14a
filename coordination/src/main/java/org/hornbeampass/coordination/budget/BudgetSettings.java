package org.hornbeampass.coordination.budget;

/**
 * Time and size limits of the budget ledger on one VM.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reportIntervalMs how often spending is reported to the platform, in milliseconds
 * @param refillIntervalMs the shortest time in milliseconds between a write and the next draw for
 *     which no request waits
 * @param refreshIntervalMs how often the record of a budget that this VM holds is read again, in
 *     milliseconds
 * @param maxRecordAgeMs the largest age in milliseconds of a record that justifies refusing a
 *     request
 * @param maxWaiters the largest number of requests that wait for tokens of one budget
 * @param backoffMinMs the wait in milliseconds after the first failed call, doubled after each
 *     further one
 * @param backoffMaxMs the longest wait in milliseconds after a failed call
 * @param askTimeoutMs how long to wait for the reply of a peer, in milliseconds
 * @param chunkTokens the tokens that {@link GrantPolicy#FIXED_CHUNK} draws at a time
 */
public record BudgetSettings(
        long reportIntervalMs,
        long refillIntervalMs,
        long refreshIntervalMs,
        long maxRecordAgeMs,
        int maxWaiters,
        long backoffMinMs,
        long backoffMaxMs,
        long askTimeoutMs,
        long chunkTokens) {
    /** Returns the default settings, for which benchmark results are published. */
    public static BudgetSettings defaults() {
        return new BudgetSettings(10_000, 1_000, 30_000, 1_000, 1_024, 100, 5_000, 1_000, 50_000);
    }
}
