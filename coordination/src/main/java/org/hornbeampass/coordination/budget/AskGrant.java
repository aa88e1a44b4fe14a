package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

/**
 * Asks a peer for tokens. The reply is a {@link MoveGrant} or an {@link AskRefused}.
 *
 * @param organisation the organisation
 * @param budget its budget
 * @param asker the VM that asks
 * @param atLeast the tokens that the asker's waiting requests lack; 0 if none wait
 * @param wanted the tokens that the asker would like for the demand that it expects
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AskGrant(
        OrganisationId organisation, BudgetId budget, VmId asker, long atLeast, long wanted)
        implements PeerMessage {}
