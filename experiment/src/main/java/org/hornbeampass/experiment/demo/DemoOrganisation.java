package org.hornbeampass.experiment.demo;

import org.hornbeampass.experiment.fleet.Operator;

import java.util.List;

/**
 * An organisation of the demo, with its caller's key.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name
 * @param key its caller's key
 * @param answerTokens how long its answers are
 */
record DemoOrganisation(String name, String key, int answerTokens) {
    private static final long PAID_TOKENS = 5_000_000;

    /** Creates the demo's organisations: briefings, questions of passengers, tags. */
    static List<DemoOrganisation> createAll(Operator operator) {
        return List.of(
                create(operator, "flight-desk", "avoid_false_refusal", 120),
                create(operator, "booking-desk", "avoid_stranding", 40),
                create(operator, "ground-crew", "avoid_stranding", 8));
    }

    private static DemoOrganisation create(
            Operator operator, String name, String preference, int answerTokens) {
        String key = operator.createOrganisation(name, preference, PAID_TOKENS);
        return new DemoOrganisation(name, key, answerTokens);
    }
}
