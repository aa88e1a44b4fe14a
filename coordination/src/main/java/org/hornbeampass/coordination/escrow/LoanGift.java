package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Hands tokens to another VM unasked: the sender shuts down and will never spend them.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation's name
 * @param tokens how many
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanGift(String organisation, long tokens) implements PeerMessage {}
