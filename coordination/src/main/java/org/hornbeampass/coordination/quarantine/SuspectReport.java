package org.hornbeampass.coordination.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * Tells other VMs under which requests upstreams crashed, and which of them were answered since.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items what is known of some requests
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SuspectReport(List<Item> items) implements PeerMessage {
    /** Copies the list. */
    public SuspectReport {
        items = List.copyOf(items);
    }

    /**
     * What is known of one request. Two of them are merged by the unions of their lists, so that
     * one that comes twice, late or out of order does no harm.
     *
     * @param digest the request
     * @param crashes the crashes during which it was in progress
     * @param cleared those of them that it did not cause
     * @param quarantineLeftMs for how long it is still kept from upstreams, in milliseconds; 0
     *     where it is not
     * @param recorded whether the platform's store holds the quarantine
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            RequestDigest digest,
            List<UpstreamIncarnation> crashes,
            List<UpstreamIncarnation> cleared,
            long quarantineLeftMs,
            boolean recorded) {
        /** Copies the lists. */
        public Item {
            crashes = List.copyOf(crashes);
            cleared = List.copyOf(cleared);
        }
    }
}
