package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Hands tokens over: the sender will never spend them, whether this arrives or not.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation's name
 * @param tokens how many; 0 where none can be spared
 * @param status what the sender knows of the budget
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanReply(String organisation, long tokens, BudgetStatus status)
        implements PeerMessage {}
