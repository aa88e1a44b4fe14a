package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Says whether a third VM answered.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reached whether it answered
 * @param rumours the sender's rumours
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record IndirectAck(boolean reached, Rumours rumours) implements PeerMessage {}
