package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;

import java.util.OptionalLong;

/**
 * A budget's account in tokens.
 *
 * <p>Invariant, checked by the audit: {@code spent + held + writtenOff + available = paid}.
 * Immutable; safe for use by any thread.
 *
 * @param organisation the organisation that paid
 * @param budget the budget within it
 * @param paid what was paid in all
 * @param spent what VMs have reported as spent
 * @param held what lies on VMs, spent there or not, and is not yet reported
 * @param writtenOff what VMs that are gone held and never reported; counts as spent
 * @param available what is neither spent, nor held, nor written off
 * @param target what {@code paid} is being lowered to, while VMs still hold more
 */
public record BudgetView(
        OrganisationId organisation,
        BudgetId budget,
        long paid,
        long spent,
        long held,
        long writtenOff,
        long available,
        OptionalLong target) {
    /** Returns the account of a budget into which nothing was ever paid. */
    public static BudgetView empty(OrganisationId organisation, BudgetId budget) {
        return new BudgetView(organisation, budget, 0, 0, 0, 0, 0, OptionalLong.empty());
    }

    /** Returns whether {@code paid} is a total, or is being lowered to it. */
    public boolean headsFor(long total) {
        return target.orElse(paid) == total;
    }
}
