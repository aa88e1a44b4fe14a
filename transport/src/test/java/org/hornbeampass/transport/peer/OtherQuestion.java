package org.hornbeampass.transport.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/** A message that can't be decoded as a {@link Question}, for tests. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record OtherQuestion(List<String> texts) implements PeerMessage {}
