package org.hornbeampass.state.service;

import org.hornbeampass.state.Region;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may run.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param regions the regions; empty where there is no restriction
 */
public record HomeRegions(Optional<Set<Region>> regions) {
    /** No restriction. */
    public static final HomeRegions ANY = new HomeRegions(Optional.empty());

    /** Copies the set. */
    public HomeRegions {
        regions = regions.map(Set::copyOf);
    }

    /** Returns the restriction to the given regions; none where the set is empty. */
    public static HomeRegions of(Set<Region> regions) {
        return regions.isEmpty() ? ANY : new HomeRegions(Optional.of(regions));
    }

    /**
     * Returns the regions that both restrictions allow; there may be none, in which case nothing
     * may run.
     */
    public HomeRegions and(HomeRegions other) {
        if (regions.isEmpty() || other.regions.isEmpty()) {
            return regions.isEmpty() ? other : this;
        }
        Set<Region> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return new HomeRegions(Optional.of(both));
    }

    /** Returns whether requests may run in a region. */
    public boolean allows(Region region) {
        return regions.isEmpty() || regions.get().contains(region);
    }

    /** Returns whether there is a restriction. */
    public boolean isRestricted() {
        return regions.isPresent();
    }
}
