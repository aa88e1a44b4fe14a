package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.OrganisationId;

/**
 * One top-up's own object on the platform, kept for ever, so that its id never counts twice.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param tokens what it adds
 * @param added whether the ledger's record is known to hold it
 */
record TopUpRecord(long tokens, boolean added) {
    /** Returns the platform's key of all top-ups of an organisation. */
    static String prefix(OrganisationId organisation) {
        return "topups/" + organisation + "/";
    }

    /** Returns the platform's key of a top-up. */
    static String key(BudgetKey key, String topUpId) {
        return prefix(key.organisation()) + key.budget() + "/" + topUpId;
    }
}
