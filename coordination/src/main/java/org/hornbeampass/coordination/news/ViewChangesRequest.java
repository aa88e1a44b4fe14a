package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Request for the changes of a view after a version; answered by {@link ViewChangesReply}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prefix the prefix of the view's keys
 * @param afterVersion the store's version up to which the requesting VM knows the view
 * @param maxBytes the largest total size of the objects in the reply, in bytes
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ViewChangesRequest(String prefix, long afterVersion, int maxBytes)
        implements PeerMessage {}
