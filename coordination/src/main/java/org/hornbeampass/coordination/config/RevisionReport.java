package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Tells a collector which revision the sender runs; has no reply.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the revision
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RevisionReport(long revision) implements PeerMessage {}
