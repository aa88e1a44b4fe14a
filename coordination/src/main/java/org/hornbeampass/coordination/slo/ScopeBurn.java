package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * What was counted for one objective of one scope, with what is promised.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation; empty for all together
 * @param objective the objective
 * @param terms what is promised
 * @param counts counts by window; a window without any request is absent
 */
public record ScopeBurn(
        Optional<OrganisationId> organisation,
        Objective objective,
        ObjectiveTerms terms,
        Map<BurnWindow, Counts> counts) {
    /** Copies the map. */
    public ScopeBurn {
        Map<BurnWindow, Counts> copy = new EnumMap<>(BurnWindow.class);
        copy.putAll(counts);
        counts = Collections.unmodifiableMap(copy);
    }

    /** Returns the counts of a window. */
    public Counts counts(BurnWindow window) {
        return counts.getOrDefault(window, Counts.NONE);
    }

    /** Returns the burn rate of a window. */
    public double rate(BurnWindow window) {
        return BurnRates.rate(counts(window), terms.target());
    }

    /** Returns the share of the error budget of three days that is left. */
    public double remaining() {
        return BurnRates.remaining(counts(BurnWindow.D3), terms.target());
    }

    /** Returns the most urgent alert that is on. */
    public Optional<BurnAlert> alert() {
        Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            rates.put(window, rate(window));
        }
        return BurnAlert.mostUrgent(rates);
    }

    /** Returns the counts of two routers together; of two targets the stricter one holds. */
    ScopeBurn plus(ScopeBurn other) {
        Map<BurnWindow, Counts> sums = new EnumMap<>(BurnWindow.class);
        sums.putAll(counts);
        other.counts.forEach((window, c) -> sums.merge(window, c, Counts::plus));
        boolean stricter = other.terms.target() > terms.target();
        return new ScopeBurn(organisation, objective, stricter ? other.terms : terms, sums);
    }
}
