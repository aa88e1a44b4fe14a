package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

/**
 * Acknowledges a move: its tokens were added, once, or the receiver's incarnation no longer runs.
 *
 * @param organisation the organisation
 * @param budget its budget
 * @param receiver the VM to which the move was addressed
 * @param sequence the sequence of the move
 * @param added false if the VM that answers is another incarnation than the receiver
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MoveAck(
        OrganisationId organisation, BudgetId budget, VmId receiver, long sequence, boolean added)
        implements PeerMessage {}
