package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.OrganisationId;

import java.util.List;

/**
 * What an organisation was billed, budget by budget.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation
 * @param lines one line for each budget that was drawn on, in their order
 */
public record UsageView(OrganisationId organisation, List<UsageLine> lines) {
    /** Copies the list. */
    public UsageView {
        lines = List.copyOf(lines);
    }
}
