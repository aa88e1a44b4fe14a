package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * What is promised in all, and to organisations that have their own terms.
 *
 * <p>Invariant: each objective has terms in all. Immutable; safe for use by any thread.
 *
 * @param general the terms in all
 * @param overrides the terms of organisations that differ
 */
public record Objectives(
        Map<Objective, ObjectiveTerms> general,
        Map<OrganisationId, Map<Objective, ObjectiveTerms>> overrides) {
    private static final long FIRST_TOKEN_MS = 890;
    private static final long BETWEEN_TOKENS_MS = 45;
    private static final double IN_TIME = 0.95;
    private static final double SERVED = 0.999;

    /** Copies the maps and checks that each objective has terms. */
    public Objectives {
        general = Map.copyOf(general);
        overrides = Map.copyOf(overrides);
        for (Objective objective : Objective.values()) {
            if (!general.containsKey(objective)) {
                throw new IllegalArgumentException("no terms for " + objective.label());
            }
        }
    }

    /** Returns the terms that hold where none are set. */
    public static Objectives defaults() {
        Map<Objective, ObjectiveTerms> terms = new EnumMap<>(Objective.class);
        terms.put(Objective.FIRST_TOKEN, new ObjectiveTerms(FIRST_TOKEN_MS, IN_TIME));
        terms.put(Objective.BETWEEN_TOKENS, new ObjectiveTerms(BETWEEN_TOKENS_MS, IN_TIME));
        terms.put(Objective.REFUSALS, new ObjectiveTerms(0, SERVED));
        terms.put(Objective.ERRORS, new ObjectiveTerms(0, SERVED));
        return new Objectives(terms, Map.of());
    }

    /** Returns the terms of one objective, in all or for an organisation. */
    public ObjectiveTerms terms(Optional<OrganisationId> organisation, Objective objective) {
        return organisation
                .flatMap(id -> Optional.ofNullable(overrides.get(id)))
                .flatMap(terms -> Optional.ofNullable(terms.get(objective)))
                .orElseGet(() -> general.get(objective));
    }
}
