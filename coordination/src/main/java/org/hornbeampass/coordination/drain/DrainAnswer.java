package org.hornbeampass.coordination.drain;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Answers a {@link DrainOrder}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param draining whether the router is draining now; false where another incarnation was meant
 * @param inFlight requests that it still has in progress
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DrainAnswer(boolean draining, long inFlight) implements PeerMessage {}
