package org.hornbeampass.coordination.requests;

import org.hornbeampass.state.requests.RequestKey;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that this VM knows to have been repeated too often without being billed.
 *
 * <p>Bounds what a caller can get for one bill: after the limit, each VM that has learned of it
 * refuses, and each other VM learns of it with the first attempt that it bills. Invariant: at most
 * {@value #MAX_REQUESTS} requests, the oldest forgotten first. Not thread-safe; the ledger's lock
 * guards it.
 */
final class RepeatLimiter {
    private static final int MAX_REQUESTS = 10_000;

    private final Retention mRetention;
    private final Map<RequestFingerprint, Long> mExhausted = new LinkedHashMap<>();

    RepeatLimiter(Retention retention) {
        mRetention = retention;
    }

    /** Takes in how often a request was repeated, as a decision tells. */
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
