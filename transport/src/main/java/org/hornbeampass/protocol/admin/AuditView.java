package org.hornbeampass.protocol.admin;

import java.util.List;

/**
 * The result of checking what the platform stores against the rules that must always hold.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisations how many organisations were checked
 * @param budgets how many budgets were checked
 * @param bills how many bills stand
 * @param billedTokens their tokens
 * @param openClaims calls that may not be repeated and have no known outcome
 * @param breaches what was found; empty where every rule holds
 */
public record AuditView(
        long organisations,
        long budgets,
        long bills,
        long billedTokens,
        long openClaims,
        List<Breach> breaches) {
    /** Copies the list. */
    public AuditView {
        breaches = List.copyOf(breaches);
    }

    /**
     * One breach of a rule.
     *
     * @param rule the rule, such as {@code spend_within_paid}
     * @param subject what breaks it, such as {@code flight-desk/main}
     * @param detail the figures
     */
    public record Breach(String rule, String subject, String detail) {}
}
