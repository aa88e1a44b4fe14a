package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Tells a VM that a stream has begun.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the stream
 * @param softwareVersion the software version of the upstream that began it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamBegun(StreamKey key, String softwareVersion) implements PeerMessage {}
