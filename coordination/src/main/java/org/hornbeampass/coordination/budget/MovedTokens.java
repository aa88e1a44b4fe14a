package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.HolderId;

/**
 * Tokens that one VM moves to another.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param charge the holder to whose entry in the record the tokens are charged
 * @param free the tokens that the receiver may spend
 * @param spent the tokens that are already spent and that the receiver reports
 */
record MovedTokens(HolderId charge, long free, long spent) {}
