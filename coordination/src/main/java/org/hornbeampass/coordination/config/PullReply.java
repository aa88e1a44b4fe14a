package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Returns changes in order, or the reason why there are none.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param ready whether the sender is ready to serve requests with its configuration
 * @param newest the sender's revision
 * @param problem the reason why there are no changes
 * @param hashAfter the hash of the history after the last change of the reply
 * @param entries the texts of the changes as stored on the platform
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PullReply(
        boolean ready, long newest, PullProblem problem, String hashAfter, List<String> entries)
        implements PeerMessage {
    /** Copies the list. */
    public PullReply {
        entries = List.copyOf(entries);
    }
}
