package org.hornbeampass.standin.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The records of the plain service: each executed call appends one, whether it is a double or not.
 *
 * <p>Invariant: ids are 1, 2, 3 and so on, in the order of execution. Thread-safe: one lock guards
 * all state.
 */
public final class RecordTable {
    private final Object mLock = new Object();
    private final List<Entry> mEntries = new ArrayList<>();
    private final Map<String, Integer> mByKey = new HashMap<>();
    private final Map<String, Integer> mByBody = new HashMap<>();

    /**
     * One executed call.
     *
     * @param id the record's id
     * @param key the idempotency key, or the request id; empty where there was neither
     * @param requestId the request, from {@code x-request-id}; empty where there was none
     * @param attemptId the attempt, from {@code x-attempt-id}; empty where there was none
     * @param body the body
     */
    public record Entry(long id, String key, String requestId, String attemptId, String body) {}

    /**
     * What was executed, for a verdict from outside.
     *
     * @param executed how many calls were executed
     * @param doubledKeys how often each key was executed, for keys with more than one execution
     * @param doubledBodies how often each body was executed, for bodies with more than one
     */
    public record Verdict(
            long executed, Map<String, Integer> doubledKeys, Map<String, Integer> doubledBodies) {}

    /** Executes a call, without looking for an earlier one with the same key. */
    public Entry append(String key, String requestId, String attemptId, String body) {
        synchronized (mLock) {
            Entry entry = new Entry(mEntries.size() + 1L, key, requestId, attemptId, body);
            mEntries.add(entry);
            mByBody.merge(body, 1, Integer::sum);
            if (!key.isEmpty()) {
                mByKey.merge(key, 1, Integer::sum);
            }
            return entry;
        }
    }

    /** Returns a record. */
    public Optional<Entry> get(long id) {
        synchronized (mLock) {
            boolean held = id >= 1 && id <= mEntries.size();
            return held ? Optional.of(mEntries.get((int) id - 1)) : Optional.empty();
        }
    }

    /** Returns the records after an id, in order. */
    public List<Entry> after(long id, int limit) {
        synchronized (mLock) {
            return mEntries.stream().skip(Math.max(0, id)).limit(limit).toList();
        }
    }

    /** Returns how often a key was executed. */
    public int executions(String key) {
        synchronized (mLock) {
            return mByKey.getOrDefault(key, 0);
        }
    }

    /** Returns what was executed, with all doubles. */
    public Verdict verdict() {
        synchronized (mLock) {
            return new Verdict(mEntries.size(), doubles(mByKey), doubles(mByBody));
        }
    }

    private static Map<String, Integer> doubles(Map<String, Integer> counts) {
        Map<String, Integer> doubles = new TreeMap<>();
        counts.forEach(
                (what, count) -> {
                    if (count > 1) {
                        doubles.put(what, count);
                    }
                });
        return doubles;
    }
}
