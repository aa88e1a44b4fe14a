package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.OrganisationId;

/**
 * Object of one top-up on the platform. It is kept forever, so that the top-up's id is never
 * counted twice.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param tokens the tokens that the top-up adds
 * @param added whether the ledger's record is known to contain the tokens
 */
record TopUpRecord(long tokens, boolean added) {
    /** Returns the prefix of the keys of an organisation's top-ups on the platform. */
    static String prefix(OrganisationId organisation) {
        return "topups/" + organisation + "/";
    }

    /** Returns the key of a top-up on the platform. */
    static String key(BudgetKey key, String topUpId) {
        return prefix(key.organisation()) + key.budget() + "/" + topUpId;
    }
}
