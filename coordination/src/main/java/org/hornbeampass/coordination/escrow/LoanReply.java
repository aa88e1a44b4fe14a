package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Lends tokens to the receiver. The sender has already deducted them and never spends them, whether
 * this message arrives or not.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation the organisation's name
 * @param tokens the tokens lent; 0 if none can be spared
 * @param status the state of the budget as known to the sender
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanReply(String organisation, long tokens, BudgetStatus status)
        implements PeerMessage {}
