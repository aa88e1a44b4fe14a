package org.hornbeampass.transport.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/** A reply for tests. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Reply(String text) implements PeerMessage {}
