package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Request to probe a third VM; answered by {@link IndirectAck}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param target the third VM's name
 * @param rumours the sender's gossip data
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record IndirectPing(String target, Rumours rumours) implements PeerMessage {}
