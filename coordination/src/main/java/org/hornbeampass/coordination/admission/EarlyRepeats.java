package org.hornbeampass.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers until when refused requests were asked to wait, to recognise repeats that come sooner.
 *
 * <p>Invariant: at most {@value #MAX_REFUSALS} refusals are kept, the oldest are dropped first.
 * Confined to one thread.
 */
final class EarlyRepeats {
    private static final int MAX_REFUSALS = 4_096;

    private final LinkedHashMap<Long, Long> mNotBeforeMs =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_REFUSALS;
                }
            };

    boolean isEmpty() {
        return mNotBeforeMs.isEmpty();
    }

    /** Records that a request was asked to come back at a time in milliseconds. */
    void onRefused(long identity, long notBeforeMs) {
        mNotBeforeMs.remove(identity);
        mNotBeforeMs.put(identity, notBeforeMs);
    }

    /** Returns whether a request comes back too early; its refusal is forgotten. */
    boolean takeEarly(long nowMs, long identity) {
        Long notBeforeMs = mNotBeforeMs.remove(identity);
        return notBeforeMs != null && nowMs < notBeforeMs;
    }
}
