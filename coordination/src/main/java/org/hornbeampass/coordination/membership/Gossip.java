package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Message that spreads membership updates between probes; it has no reply.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's gossip data
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Gossip(Rumours rumours) implements PeerMessage {}
