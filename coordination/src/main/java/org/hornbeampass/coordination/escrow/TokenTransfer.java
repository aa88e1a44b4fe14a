package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Hands tokens, and the reporting of spent ones, to another VM unasked.
 *
 * <p>A VM that is no home gives back what its requests leave, and one that shuts down all that it
 * has. Where this is lost, the tokens are lost and the spending stays unreported, so that a budget
 * is never taken for used up that is not. Immutable; safe for use by any thread.
 *
 * @param organisation the organisation's name
 * @param tokens how many unspent tokens are handed over
 * @param spent how many tokens the sender has spent and never reported to the store
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TokenTransfer(String organisation, long tokens, long spent) implements PeerMessage {}
