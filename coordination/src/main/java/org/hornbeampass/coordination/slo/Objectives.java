package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The terms of all objectives, with overrides for single organisations.
 *
 * <p>Invariant: each objective has general terms. Immutable; safe for use by any thread.
 *
 * @param general the terms of the total, and of each organisation without an override
 * @param overrides the terms by which single organisations differ
 */
public record Objectives(
        Map<Objective, ObjectiveTerms> general,
        Map<OrganisationId, Map<Objective, ObjectiveTerms>> overrides) {
    private static final long FIRST_TOKEN_MS = 890;
    private static final long BETWEEN_TOKENS_MS = 45;
    private static final double LATENCY_TARGET = 0.95;
    private static final double AVAILABILITY_TARGET = 0.999;

    /** Copies the maps and checks that each objective has general terms. */
    public Objectives {
        general = Map.copyOf(general);
        overrides = Map.copyOf(overrides);
        for (Objective objective : Objective.values()) {
            if (!general.containsKey(objective)) {
                throw new IllegalArgumentException(
                        "no general terms for objective " + objective.label());
            }
        }
    }

    /** Returns the terms used if the settings give none. */
    public static Objectives defaults() {
        Map<Objective, ObjectiveTerms> terms = new EnumMap<>(Objective.class);
        terms.put(Objective.FIRST_TOKEN, new ObjectiveTerms(FIRST_TOKEN_MS, LATENCY_TARGET));
        terms.put(Objective.BETWEEN_TOKENS, new ObjectiveTerms(BETWEEN_TOKENS_MS, LATENCY_TARGET));
        terms.put(Objective.REFUSALS, new ObjectiveTerms(0, AVAILABILITY_TARGET));
        terms.put(Objective.ERRORS, new ObjectiveTerms(0, AVAILABILITY_TARGET));
        return new Objectives(terms, Map.of());
    }

    /**
     * Returns the terms of one objective.
     *
     * @param organisation the organisation to which they apply; empty for the total
     */
    public ObjectiveTerms terms(Optional<OrganisationId> organisation, Objective objective) {
        return organisation
                .flatMap(id -> Optional.ofNullable(overrides.get(id)))
                .flatMap(terms -> Optional.ofNullable(terms.get(objective)))
                .orElseGet(() -> general.get(objective));
    }
}
