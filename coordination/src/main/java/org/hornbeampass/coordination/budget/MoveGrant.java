package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;

/**
 * Moves tokens that the giver has already subtracted; answered by {@link MoveAck}.
 *
 * <p>Invariant: giver, receiver, budget and sequence name the move; the giver repeats it unchanged
 * until it is acknowledged, and starts no other with this receiver and budget before.
 *
 * @param organisation the organisation
 * @param budget its budget
 * @param giver the VM that gives
 * @param receiver the one VM incarnation that may add the tokens
 * @param sequence counts the giver's moves to this receiver and budget, from 1
 * @param charge the holder to whose entry the tokens are charged
 * @param free tokens that may be spent
 * @param spent tokens that were spent and are to be reported
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MoveGrant(
        OrganisationId organisation,
        BudgetId budget,
        VmId giver,
        VmId receiver,
        long sequence,
        HolderId charge,
        long free,
        long spent)
        implements PeerMessage {
    /** Returns what moves. */
    MovedTokens movedTokens() {
        return new MovedTokens(charge, free, spent);
    }
}
