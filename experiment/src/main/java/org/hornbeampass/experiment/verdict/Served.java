package org.hornbeampass.experiment.verdict;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The tokens that an organisation's callers were served, over time.
 *
 * <p>Immutable once made; safe for use by any thread.
 */
final class Served {
    private final NavigableMap<Long, Long> mTokens = new TreeMap<>();

    private Served() {}

    static Served of(List<SeenRequest> requests, String organisation) {
        TreeMap<Long, Long> steps = new TreeMap<>();
        for (SeenRequest request : requests) {
            if (request.organisation().equals(organisation)) {
                request.usedTokens()
                        .ifPresent(t -> steps.merge(request.last().endedAtMs(), t, Long::sum));
            }
        }
        Served served = new Served();
        long sum = 0;
        for (var step : steps.entrySet()) {
            sum += step.getValue();
            served.mTokens.put(step.getKey(), sum);
        }
        return served;
    }

    /** Returns the tokens of all answers that had ended by a time. */
    long upTo(long atMs) {
        var last = mTokens.floorEntry(atMs);
        return last == null ? 0 : last.getValue();
    }
}
