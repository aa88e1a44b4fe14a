package org.hornbeampass.coordination.service;

import com.codahale.metrics.SlidingWindowReservoir;

import org.hornbeampass.state.service.Route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Estimates how long a request takes by the recent answers of its route.
 *
 * <p>Invariant: holds at most {@link #KEPT_ANSWERS} times a route, and only routes that are
 * configured. Confined to one event loop.
 */
public final class AnswerTimes {
    private static final int KEPT_ANSWERS = 64;

    private final Map<String, SlidingWindowReservoir> mTimes = new HashMap<>();

    /**
     * Records a complete answer.
     *
     * @param route the name of its route
     * @param tookMs the time from the first send to the end of the answer, in milliseconds
     */
    public void onAnswered(String route, long tookMs) {
        mTimes.computeIfAbsent(route, r -> new SlidingWindowReservoir(KEPT_ANSWERS)).update(tookMs);
    }

    /**
     * Returns how long a request takes, in milliseconds; empty where none has ended.
     *
     * @param route the name of its route
     * @param quantile the share of the recent answers that took at most the estimate, 0 to 1
     */
    public OptionalLong expectedMs(String route, double quantile) {
        return Optional.ofNullable(mTimes.get(route))
                .map(t -> OptionalLong.of((long) Math.ceil(t.getSnapshot().getValue(quantile))))
                .orElse(OptionalLong.empty());
    }

    /** Forgets the routes that are no longer configured. */
    public void retain(Collection<Route> routes) {
        Set<String> names = routes.stream().map(Route::name).collect(Collectors.toSet());
        mTimes.keySet().retainAll(names);
    }
}
