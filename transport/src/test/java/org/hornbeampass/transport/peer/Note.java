package org.hornbeampass.transport.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/** A one-way message for tests. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Note(String text) implements PeerMessage {}
