package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Answers an {@link OriginRequest}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param softwareVersion the software version that began the stream; empty where the VM does not
 *     know it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OriginReply(String softwareVersion) implements PeerMessage {}
