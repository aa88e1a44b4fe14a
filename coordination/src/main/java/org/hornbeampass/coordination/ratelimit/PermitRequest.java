package org.hornbeampass.coordination.ratelimit;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.SignalReport;

/**
 * Requests from the home of an upstream a permit to send one request to the upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param known the last signals of the upstream that the requesting VM received, which the home may
 *     not have yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitRequest(SignalReport.Item known) implements PeerMessage {}
