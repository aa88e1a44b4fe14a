package org.hornbeampass.coordination.address;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Tells other VMs which VMs are overloaded.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the VMs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OverloadReport(List<Item> items) implements PeerMessage {
    /** Copies the list. */
    public OverloadReport {
        items = List.copyOf(items);
    }

    /**
     * One VM.
     *
     * @param vm its name
     * @param number increases with each change of the VM's state
     * @param overloaded whether it is overloaded
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(String vm, long number, boolean overloaded) {}
}
