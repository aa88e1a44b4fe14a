package org.hornbeampass.coordination.address;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Tells other VMs which VMs are overloaded or have lost their links to services.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the VMs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ConditionReport(List<Item> items) implements PeerMessage {
    /** Copies the list. */
    public ConditionReport {
        items = List.copyOf(items);
    }

    /**
     * One VM.
     *
     * @param vm its name
     * @param number increases with each change of the VM's state
     * @param overloaded whether it is overloaded
     * @param lostServices the services to which it has lost its links; null from an older router
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(String vm, long number, boolean overloaded, List<String> lostServices) {
        /** Copies the list. */
        public Item {
            lostServices = lostServices == null ? List.of() : List.copyOf(lostServices);
        }
    }
}
