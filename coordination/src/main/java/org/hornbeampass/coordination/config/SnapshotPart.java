package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Returns one part of the sender's configuration.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param ready whether the sender is ready to serve requests with its configuration
 * @param revision the revision of the configuration
 * @param hash the hash of the history up to that revision
 * @param parts the number of parts; 0 if the requested part or revision is not available
 * @param text this part of the configuration's JSON text
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SnapshotPart(boolean ready, long revision, String hash, int parts, String text)
        implements PeerMessage {}
