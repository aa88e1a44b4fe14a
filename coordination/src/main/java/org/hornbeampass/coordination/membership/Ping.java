package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks whether the receiver is up; answered by {@link Ack}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param rumours the sender's rumours
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Ping(Rumours rumours) implements PeerMessage {}
