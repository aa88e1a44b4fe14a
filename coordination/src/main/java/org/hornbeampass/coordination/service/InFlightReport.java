package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Tells other VMs what this one has in progress at each upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items one for each upstream at which anything is in progress
 * @param vms how many VMs' work it is
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlightReport(List<Item> items, int vms) implements PeerMessage {
    /** Copies the list. */
    public InFlightReport {
        items = List.copyOf(items);
    }

    /**
     * What is in progress at one upstream.
     *
     * @param upstream its identity
     * @param unreadTokens the prompt tokens that it has still to read
     * @param requests how many requests it works on
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(String upstream, long unreadTokens, int requests) {}
}
