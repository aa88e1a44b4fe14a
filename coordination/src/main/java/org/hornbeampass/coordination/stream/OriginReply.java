package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;
import java.util.Optional;

/**
 * Answers an {@link OriginRequest}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param origins where the stream began; empty where the VM does not know it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OriginReply(List<StreamOrigin> origins) implements PeerMessage {
    /** Copies the list. */
    public OriginReply {
        origins = List.copyOf(origins);
    }

    /** Returns the reply of a VM that may know a stream's origin. */
    static OriginReply of(Optional<StreamOrigin> origin) {
        return new OriginReply(origin.stream().toList());
    }

    /** Returns the origin, if the VM knows it. */
    Optional<StreamOrigin> first() {
        return origins.stream().findFirst();
    }
}
