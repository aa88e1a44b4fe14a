package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.HolderId;

/**
 * Tokens that move between two VMs.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param charge the holder to whose entry in the record they are charged
 * @param free tokens that may be spent
 * @param spent tokens that were spent and are to be reported
 */
record MovedTokens(HolderId charge, long free, long spent) {}
