package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Spreads news at once; has no reply.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's rumours
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Gossip(Rumours rumours) implements PeerMessage {}
