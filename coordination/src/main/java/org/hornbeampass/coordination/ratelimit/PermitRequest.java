package org.hornbeampass.coordination.ratelimit;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.SignalReport;

/**
 * Asks the home of an upstream for a permit to send one request there.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param known what the asking VM knows of the upstream, which its home may not have heard yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitRequest(SignalReport.Item known) implements PeerMessage {}
