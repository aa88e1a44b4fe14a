package org.hornbeampass.coordination.limit;

/**
 * Decides whether to send a second attempt while the first still waits for its first token.
 *
 * <p>Invariants: only a request that may be repeated is hedged, at most once, and only while the
 * retry budget is more than half full, so that hedges never use up what retries need. Stateless;
 * thread-safe.
 */
public final class HedgePolicy {
    private static final double WAIT_RATIO = 4;
    private static final long MIN_WAIT_MS = 200;

    /**
     * Returns whether to hedge a waiting attempt; if so, the hedge is taken out of the budget.
     *
     * @param waitedMs how long the first attempt has waited, in milliseconds
     * @param typicalMs the smoothed time to first token of the target's upstreams, in milliseconds;
     *     0 if unknown
     * @param repeatable whether the request may run more than once
     * @param attempts the number of attempts made
     */
    public boolean tryHedge(
            long waitedMs, double typicalMs, boolean repeatable, int attempts, RetryBudget budget) {
        if (!repeatable || attempts > 1 || typicalMs <= 0) {
            return false;
        }
        if (waitedMs < Math.max(MIN_WAIT_MS, WAIT_RATIO * typicalMs)) {
            return false;
        }
        return budget.isMoreThanHalfFull() && budget.tryTake();
    }
}
