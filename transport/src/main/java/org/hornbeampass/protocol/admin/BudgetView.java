package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;

/**
 * A budget's account in tokens.
 *
 * <p>Invariant, checked by the audit: {@code spent + held + writtenOff <= paid}. Immutable; safe
 * for use by any thread.
 *
 * @param organisation the organisation that paid
 * @param budget the budget within it
 * @param paid what was paid in all
 * @param spent what VMs have reported as spent
 * @param held what lies on VMs, spent there or not, and is not yet reported
 * @param writtenOff what VMs that are gone held and never reported; counts as spent
 * @param available what is neither spent, nor held, nor written off
 */
public record BudgetView(
        OrganisationId organisation,
        BudgetId budget,
        long paid,
        long spent,
        long held,
        long writtenOff,
        long available) {}
