package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks for one part of a peer's configuration; answered by {@link SnapshotPart}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the revision that earlier parts were of; 0 with the first part
 * @param part the part's number, from 0
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotRequest(long revision, int part) implements PeerMessage {}
