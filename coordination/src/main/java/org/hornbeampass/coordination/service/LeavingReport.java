package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Tells other VMs which upstreams said in an answer that they leave.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstreams the incarnations that leave
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeavingReport(List<UpstreamIncarnation> upstreams) implements PeerMessage {
    /** Copies the list. */
    public LeavingReport {
        upstreams = List.copyOf(upstreams);
    }
}
