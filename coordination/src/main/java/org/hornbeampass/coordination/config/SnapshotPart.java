package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Gives one part of the sender's configuration.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param ready whether the sender's configuration is complete as far as it knows
 * @param revision the revision
 * @param hash the hash of the history up to it
 * @param parts the number of parts; 0 where the revision asked for is no longer there
 * @param text the part of its JSON text
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotPart(boolean ready, long revision, String hash, int parts, String text)
        implements PeerMessage {}
