package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;

/**
 * Moves tokens that the giver has already subtracted. The reply is a {@link MoveAck}.
 *
 * <p>Invariant: giver, receiver, budget and sequence identify a move. The giver repeats it
 * unchanged until it is acknowledged, and starts no other move of this budget to this receiver
 * before.
 *
 * @param organisation the organisation
 * @param budget its budget
 * @param giver the VM that gives the tokens
 * @param receiver the only VM incarnation that may add the tokens
 * @param sequence the number of this move among the giver's moves to this receiver and budget,
 *     starting at 1
 * @param charge the holder to whose entry the tokens are charged
 * @param free the tokens that the receiver may spend
 * @param spent the tokens that are already spent and that the receiver reports
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
    /** Returns the moved tokens with their charge. */
    MovedTokens movedTokens() {
        return new MovedTokens(charge, free, spent);
    }
}
