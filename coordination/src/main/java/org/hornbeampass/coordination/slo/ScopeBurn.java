package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The counts of one objective for one scope, with the terms of the objective.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation; empty for the total of all organisations
 * @param objective the objective
 * @param terms the threshold and target of the objective
 * @param counts counts by window; windows without requests are absent
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

    /**
     * Returns the share of the three-day error budget that is left; negative if it is overspent.
     */
    public double remaining() {
        return BurnRates.remaining(counts(BurnWindow.D3), terms.target());
    }

    /** Returns the most urgent active alert. */
    public Optional<BurnAlert> alert() {
        Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            rates.put(window, rate(window));
        }
        return BurnAlert.mostUrgent(rates);
    }

    /** Returns the sum of the counts of two routers, with the terms of the higher target. */
    ScopeBurn plus(ScopeBurn other) {
        Map<BurnWindow, Counts> sums = new EnumMap<>(BurnWindow.class);
        sums.putAll(counts);
        other.counts.forEach((window, c) -> sums.merge(window, c, Counts::plus));
        boolean stricter = other.terms.target() > terms.target();
        return new ScopeBurn(organisation, objective, stricter ? other.terms : terms, sums);
    }
}
