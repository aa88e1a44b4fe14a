package org.hornbeampass.coordination.capacity;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Tells other VMs what VMs can carry and how much of it is used.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the VMs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CapacityReport(List<Item> items) implements PeerMessage {
    private static final double THOUSAND = 1_000;

    /** Copies the list. */
    public CapacityReport {
        items = List.copyOf(items);
    }

    /**
     * One VM. Whole numbers, since a relay of a large fleet sends thousands of items per second.
     *
     * @param vm its name
     * @param number increases with each report of the VM, also across its incarnations
     * @param milliCores its processor time, in thousandths of a core
     * @param linkKbps the speed of its link, in kilobits per second
     * @param memoryMb its memory, in megabytes
     * @param processorPermille the used thousandths of the processor time
     * @param linkPermille the used thousandths of the link
     * @param memoryPermille the used thousandths of the memory for connections
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            String vm,
            long number,
            long milliCores,
            long linkKbps,
            long memoryMb,
            int processorPermille,
            int linkPermille,
            int memoryPermille) {
        /** Returns the report of a VM. */
        public static Item of(
                String vm, long number, VmCapacity capacity, Utilisation utilisation) {
            return new Item(
                    vm,
                    number,
                    Math.max(1, Math.round(capacity.cores() * THOUSAND)),
                    Math.max(1, Math.round(capacity.linkMbps() * THOUSAND)),
                    capacity.memoryMb(),
                    permille(utilisation.processor()),
                    permille(utilisation.link()),
                    permille(utilisation.memory()));
        }

        private static int permille(double fraction) {
            return (int) Math.round(fraction * THOUSAND);
        }

        /** Returns what the VM can carry. */
        public VmCapacity capacity() {
            return new VmCapacity(milliCores / THOUSAND, linkKbps / THOUSAND, memoryMb);
        }

        /** Returns how much of it is used. */
        public Utilisation utilisation() {
            return new Utilisation(
                    processorPermille / THOUSAND,
                    linkPermille / THOUSAND,
                    memoryPermille / THOUSAND);
        }
    }
}
