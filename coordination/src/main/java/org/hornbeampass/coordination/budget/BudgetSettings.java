package org.hornbeampass.coordination.budget;

/**
 * Times and bounds of the budget ledger on one VM.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reportIntervalMs how often spending is reported, in milliseconds
 * @param refillIntervalMs how soon after a write the next one may draw though nobody waits
 * @param refreshIntervalMs how often the record of a budget that is held is read anew
 * @param maxRecordAgeMs how old the record may be for a refusal to rest on it
 * @param maxWaiters the largest number of requests that wait for one budget's grant
 * @param backoffMinMs the wait after a first failed call, doubled with each further one
 * @param backoffMaxMs the longest wait after a failed call
 * @param askTimeoutMs how long a peer's reply is waited for
 * @param chunkTokens the grant that {@link GrantPolicy#FIXED_CHUNK} draws
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
    /** Returns the settings for which figures are published. */
    public static BudgetSettings defaults() {
        return new BudgetSettings(10_000, 1_000, 30_000, 1_000, 1_024, 100, 5_000, 1_000, 50_000);
    }
}
