package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Reply to {@link IndirectPing}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reached whether the third VM replied to the probe
 * @param rumours the sender's gossip data
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record IndirectAck(boolean reached, Rumours rumours) implements PeerMessage {}
