package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

/**
 * Asks a peer for tokens; answered by {@link MoveGrant} or {@link AskRefused}.
 *
 * @param organisation the organisation
 * @param budget its budget
 * @param asker the VM that asks
 * @param atLeast what requests wait for
 * @param wanted what would last for a while
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AskGrant(
        OrganisationId organisation, BudgetId budget, VmId asker, long atLeast, long wanted)
        implements PeerMessage {}
