package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks another VM for what it has seen of a view since a version.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prefix the prefix of the view's keys
 * @param afterVersion the store's version up to which the asking VM is informed
 * @param maxBytes the most that the answer's objects may have in all, in bytes
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ViewChangesRequest(String prefix, long afterVersion, int maxBytes)
        implements PeerMessage {}
