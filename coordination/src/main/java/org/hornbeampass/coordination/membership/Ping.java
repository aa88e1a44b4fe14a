package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Probe of the receiver; answered by {@link Ack}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's gossip data
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Ping(Rumours rumours) implements PeerMessage {}
