package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Tells a VM that a stream has begun.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the stream
 * @param origin where it began
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamBegun(StreamKey key, StreamOrigin origin) implements PeerMessage {}
