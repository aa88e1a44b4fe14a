package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Reports the sender's revision to the collector of its failure domain; has no reply.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the revision that the sender has applied
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RevisionReport(long revision) implements PeerMessage {}
