package org.hornbeampass.coordination.ratelimit;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

/**
 * Requests a permit to send one request to an upstream in its slow start.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param perSecond its rate, as the requesting VM knows it
 * @param leftMs the rest of its slow start, as the requesting VM knows it, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SlowStartRequest(UpstreamIncarnation upstream, double perSecond, long leftMs)
        implements PeerMessage {}
