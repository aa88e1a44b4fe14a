package org.hornbeampass.coordination.news;

import java.util.List;

/**
 * This VM's place among the VMs that may watch the platform for the others.
 *
 * <p>VMs that know the same members agree on the ranks. Immutable; safe for use by any thread.
 *
 * @param known whether this VM knows enough members of the fleet
 * @param rank this VM's rank in its failure domain; 0 watches
 * @param domainPeers the other VMs of its failure domain
 * @param otherWatchers the VMs of rank 0 in the other failure domains
 */
public record WatchPaths(
        boolean known, int rank, List<String> domainPeers, List<String> otherWatchers) {
    /** Copies the lists. */
    public WatchPaths {
        domainPeers = List.copyOf(domainPeers);
        otherWatchers = List.copyOf(otherWatchers);
    }
}
