package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks a VM where a stream began.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the stream
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OriginRequest(StreamKey key) implements PeerMessage {}
