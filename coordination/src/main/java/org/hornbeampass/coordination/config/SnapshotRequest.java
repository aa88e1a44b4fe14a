package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Requests one part of a peer's configuration; answered by {@link SnapshotPart}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the revision of the parts received before; 0 when requesting the first part
 * @param part the index of the part, from 0
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotRequest(long revision, int part) implements PeerMessage {}
