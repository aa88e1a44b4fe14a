package org.hornbeampass.coordination.limit;

/**
 * Decides whether a second attempt is sent while the first still waits for its first token.
 *
 * <p>Invariants: only a request that may be repeated is hedged, at most once, and only while the
 * budget holds more than half, so that hedges never use up what retries need. Stateless;
 * thread-safe.
 */
public final class HedgePolicy {
    private static final double WAIT_RATIO = 4;
    private static final long MIN_WAIT_MS = 200;

    /**
     * Decides for one waiting attempt; a hedge that is allowed is taken out of the budget.
     *
     * @param waitedMs how long the first attempt has waited, in milliseconds
     * @param typicalMs the smoothed time to first token of the target's upstreams; 0 where unknown
     * @param repeatable whether the request may run more than once
     * @param attempts how many attempts were made
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
