package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Gives changes in their order, or tells why it can't.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param ready whether the sender's configuration is complete as far as it knows
 * @param newest the sender's revision
 * @param problem why there are no changes
 * @param hashAfter the hash of the history after the last change given
 * @param entries the changes' texts as they stand on the platform
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
