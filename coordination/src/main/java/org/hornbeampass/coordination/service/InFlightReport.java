package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * A message that reports a VM's load, or the sum of several VMs' loads, at each upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items one for each upstream with requests in progress
 * @param vms how many VMs the sums cover; 1 unless the sender is a relay
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlightReport(List<Item> items, int vms) implements PeerMessage {
    /** Copies the list. */
    public InFlightReport {
        items = List.copyOf(items);
    }

    /**
     * The load at one upstream.
     *
     * @param upstream the upstream's identity
     * @param unreadTokens the prompt tokens that it has not read yet
     * @param requests how many requests are in progress there
     * @param heldTokens the tokens of its cache that they need; 0 from an older router
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(String upstream, long unreadTokens, int requests, long heldTokens) {
        /** Creates the load of requests that need no cache. */
        public Item(String upstream, long unreadTokens, int requests) {
            this(upstream, unreadTokens, requests, 0);
        }
    }
}
