package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;

/**
 * One bill that stands, as the platform stores it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that is billed
 * @param request the request's id within its organisation
 * @param budget the budget that was drawn on
 * @param attempt the VM, and its number for the attempt, that used the tokens
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens of the answer
 * @param admittedAtMs when the request was admitted, in milliseconds since 1970
 */
public record BillView(
        OrganisationId organisation,
        RequestId request,
        BudgetId budget,
        String attempt,
        long promptTokens,
        long completionTokens,
        long admittedAtMs) {
    /** Returns the tokens that are billed. */
    public long tokens() {
        return promptTokens + completionTokens;
    }
}
