package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.OrganisationId;

import java.util.List;

/**
 * What an organisation has used, summed from its bills.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation
 * @param lines one line for each budget and target, in their order
 */
public record UsageView(OrganisationId organisation, List<UsageLine> lines) {
    /** Copies the list. */
    public UsageView {
        lines = List.copyOf(lines);
    }
}
