package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Requests the changes after a revision; answered by {@link PullReply}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param after the sender's revision
 * @param hash the hash of the sender's history
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PullRequest(long after, String hash) implements PeerMessage {}
