package org.hornbeampass.transport.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.Optional;

/** A request for tests, with fields of each kind that messages have. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Question(String text, long number, Optional<VmId> vm, List<String> more)
        implements PeerMessage {
    static Question of(String text) {
        return new Question(text, Long.MAX_VALUE, Optional.of(new VmId("vm-9", 7)), List.of("a"));
    }
}
