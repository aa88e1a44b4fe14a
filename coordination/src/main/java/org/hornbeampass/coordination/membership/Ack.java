package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Reply to {@link Ping}, which shows that the sender is up.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's gossip data
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Ack(Rumours rumours) implements PeerMessage {}
