package org.hornbeampass.coordination.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * Reports to other VMs the requests during which upstreams crashed, and those that were answered
 * since.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the state of some requests, as this VM knows it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SuspectReport(List<Item> items) implements PeerMessage {
    /** Copies the list. */
    public SuspectReport {
        items = List.copyOf(items);
    }

    /**
     * The state of one request. Two items are merged by the union of their lists, so duplicate,
     * late or reordered items do no harm.
     *
     * @param digest the request
     * @param crashes the crashes during which it was in flight
     * @param cleared the crashes that it did not cause
     * @param quarantineLeftMs the remaining time of the quarantine, in milliseconds; 0 if the
     *     request is not quarantined
     * @param recorded whether the platform's store holds a record of the quarantine
     * @param trials how many trials of the request were started
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            SuspectDigest digest,
            List<UpstreamIncarnation> crashes,
            List<UpstreamIncarnation> cleared,
            long quarantineLeftMs,
            boolean recorded,
            int trials) {
        /** Copies the lists. */
        public Item {
            crashes = List.copyOf(crashes);
            cleared = List.copyOf(cleared);
        }
    }
}
