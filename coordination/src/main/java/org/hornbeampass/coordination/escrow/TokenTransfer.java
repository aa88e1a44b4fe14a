package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Transfers tokens, and the duty to report spent ones, to another VM without a request.
 *
 * <p>A VM that is not a home transfers the tokens that its requests did not use; a VM that shuts
 * down transfers all of its tokens. If this message is lost, the tokens are lost and the spending
 * stays unreported, so that a budget is never taken for used up while tokens are left. Immutable
 * and thread-safe.
 *
 * @param organisation the organisation's name
 * @param tokens the unspent tokens transferred
 * @param spent the tokens that the sender has spent and never reported to the store
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TokenTransfer(String organisation, long tokens, long spent) implements PeerMessage {}
