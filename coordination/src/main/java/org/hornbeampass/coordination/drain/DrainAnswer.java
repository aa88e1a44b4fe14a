package org.hornbeampass.coordination.drain;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * The answer to a {@link DrainOrder}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param draining whether the router is draining now; false if the order was for another
 *     incarnation
 * @param inFlight the number of requests that it still has in progress
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DrainAnswer(boolean draining, long inFlight) implements PeerMessage {}
