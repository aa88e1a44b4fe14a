package org.hornbeampass.coordination.capacity;

import org.hornbeampass.state.member.Member;

import java.util.List;
import java.util.Set;

/**
 * What a VM knows of the others when it selects the VMs for answers about addresses.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param candidates the VMs that may be named
 * @param withLostServices the names of the VMs that have lost their links to services
 * @param reports what is known of the VMs' capacity and utilisation
 */
public record AddressSnapshot(
        List<Member> candidates, Set<String> withLostServices, CapacityReports reports) {
    /** Copies the collections. */
    public AddressSnapshot {
        candidates = List.copyOf(candidates);
        withLostServices = Set.copyOf(withLostServices);
    }
}
