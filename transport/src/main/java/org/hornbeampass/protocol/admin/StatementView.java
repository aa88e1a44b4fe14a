package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.OrganisationId;

import java.util.List;

/**
 * An organisation's statement: what was paid, what its bills come to, and what is left.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation
 * @param lines one line for each budget in the order of their names
 */
public record StatementView(OrganisationId organisation, List<Line> lines) {
    /** Copies the list. */
    public StatementView {
        lines = List.copyOf(lines);
    }

    /**
     * One budget's line.
     *
     * @param account the budget's account
     * @param bills how many bills draw on it
     * @param billedTokens what these bills come to in tokens
     */
    public record Line(BudgetView account, long bills, long billedTokens) {}
}
