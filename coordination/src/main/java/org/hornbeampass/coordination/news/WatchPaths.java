package org.hornbeampass.coordination.news;

import java.util.List;

/**
 * This VM's place among the VMs that may watch the platform for the others.
 *
 * <p>VMs that know the same members agree on the ranks. Immutable; safe for use by any thread.
 *
 * @param known whether this VM knows enough members of the fleet
 * @param rank this VM's rank in its failure domain, from 0
 * @param watchers how many VMs of its failure domain watch, those with the lowest ranks
 * @param domainPeers the other VMs of its failure domain
 * @param otherWatchers the watching VMs of the other failure domains
 */
public record WatchPaths(
        boolean known,
        int rank,
        int watchers,
        List<String> domainPeers,
        List<String> otherWatchers) {
    /**
     * The fewest VMs of the fleet that watch, if there are as many. One whose watch gets no reply
     * takes a while to notice, so that several must not fail together; a fleet of eight watches as
     * a whole, since its changes are due sooner than that.
     */
    private static final int MIN_WATCHERS = 8;

    /** Returns how many VMs of each failure domain watch in a fleet. */
    public static int watchersPerDomain(int domains) {
        return Math.max(1, (MIN_WATCHERS + domains - 1) / Math.max(1, domains));
    }

    /** Returns whether this VM watches whatever it hears from others. */
    boolean isWatcher() {
        return known && rank < watchers;
    }

    /** Returns whether VMs of the failure domain rely on its watching VMs. */
    boolean hasDependents() {
        return domainPeers.size() >= watchers;
    }

    /** Copies the lists. */
    public WatchPaths {
        domainPeers = List.copyOf(domainPeers);
        otherWatchers = List.copyOf(otherWatchers);
    }
}
