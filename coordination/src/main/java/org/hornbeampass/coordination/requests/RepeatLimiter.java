package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.requests.RequestKey;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the requests that, as far as this VM knows, were repeated too often without being
 * billed.
 *
 * <p>Limits what a caller can get for one bill: once the limit is reached, each VM that knows of it
 * rejects the request, and each other VM learns of it with the first attempt that it bills.
 * Invariant: holds at most {@value #MAX_REQUESTS} requests; the oldest are dropped first. Not
 * thread-safe; guarded by the ledger's lock.
 */
final class RepeatLimiter {
    private static final int MAX_REQUESTS = 10_000;

    private final Retention mRetention;
    private final Map<RequestFingerprint, Long> mExhausted = new LinkedHashMap<>();

    RepeatLimiter(Retention retention) {
        mRetention = retention;
    }

    /** Records how often a request was repeated, as reported by a decision. */
    void recordRepeats(long nowMs, RequestKey key, int repeats) {
        if (repeats < mRetention.maxRepeats()) {
            return;
        }
        mExhausted.put(RequestFingerprint.of(key), nowMs);
        Iterator<Long> oldestFirst = mExhausted.values().iterator();
        if (mExhausted.size() > MAX_REQUESTS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Returns whether a request must not be run again. */
    boolean isExhausted(long nowMs, RequestKey key) {
        if (mExhausted.isEmpty()) {
            return false;
        }
        Long since = mExhausted.get(RequestFingerprint.of(key));
        return since != null && nowMs - since <= mRetention.retentionMs();
    }
}
