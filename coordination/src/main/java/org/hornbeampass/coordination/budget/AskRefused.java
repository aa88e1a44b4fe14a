package org.hornbeampass.coordination.budget;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;

/**
 * Reply to {@link AskGrant} from a peer that moves no tokens at present.
 *
 * @param organisation the organisation
 * @param budget its budget
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AskRefused(OrganisationId organisation, BudgetId budget) implements PeerMessage {}
