package org.hornbeampass.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The region of each failure domain, from the settings.
 *
 * <p>Immutable; safe for use by any thread.
 */
public final class DomainRegions {
    /** No failure domain is known. */
    public static final DomainRegions NONE = new DomainRegions(Map.of());

    private final Map<FailureDomain, Region> mRegions;

    private DomainRegions(Map<FailureDomain, Region> regions) {
        mRegions = regions;
    }

    /** Returns these regions and that of one more failure domain. */
    public DomainRegions with(FailureDomain domain, Region region) {
        Map<FailureDomain, Region> regions = new HashMap<>(mRegions);
        regions.put(domain, region);
        return new DomainRegions(Map.copyOf(regions));
    }

    /** Returns the region of a failure domain; empty where the settings don't state it. */
    public Optional<Region> of(FailureDomain domain) {
        return Optional.ofNullable(mRegions.get(domain));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DomainRegions regions && mRegions.equals(regions.mRegions);
    }

    @Override
    public int hashCode() {
        return mRegions.hashCode();
    }

    @Override
    public String toString() {
        return mRegions.toString();
    }
}
