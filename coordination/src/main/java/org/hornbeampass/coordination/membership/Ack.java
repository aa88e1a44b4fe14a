package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Says that the sender is up.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's rumours
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Ack(Rumours rumours) implements PeerMessage {}
