package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;

/**
 * One bill as the platform stores it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that is billed
 * @param request the request, unique within the organisation
 * @param budget the budget that was drawn on
 * @param target the model or the plain service that was asked for
 * @param upstream the upstream that answered
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens of the answer
 * @param billedAtMs when the bill was made, in milliseconds since 1970
 */
public record BillView(
        OrganisationId organisation,
        RequestId request,
        BudgetId budget,
        String target,
        String upstream,
        long promptTokens,
        long completionTokens,
        long billedAtMs) {
    /** Returns the tokens that are billed. */
    public long tokens() {
        return promptTokens + completionTokens;
    }
}
