package org.hornbeampass.coordination.capacity;

import java.util.Map;

/**
 * What a VM knows of the capacity and the utilisation of the VMs, itself included.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param current the reports that are recent enough to count, by VM
 * @param capacities the capacities, also of VMs whose last report is older, by VM
 */
public record CapacityReports(
        Map<String, CapacityReport.Item> current, Map<String, VmCapacity> capacities) {
    /** Nothing is known. */
    public static final CapacityReports NONE = new CapacityReports(Map.of(), Map.of());

    /** Copies the maps. */
    public CapacityReports {
        current = Map.copyOf(current);
        capacities = Map.copyOf(capacities);
    }
}
