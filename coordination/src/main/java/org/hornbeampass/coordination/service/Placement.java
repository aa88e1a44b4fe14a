package org.hornbeampass.coordination.service;

import org.hornbeampass.state.DomainRegions;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.HomeRegions;

/**
 * Decides in which failure domains a request may run: in none that is evacuated, and only in its
 * home regions.
 *
 * <p>Confined to one thread.
 */
public final class Placement {
    private final EvacuatedDomains mEvacuated;
    private final DomainRegions mRegions;

    /**
     * Creates the rules.
     *
     * @param evacuated the evacuated failure domains
     * @param regions the region of each failure domain; one that is missing counts as no home
     */
    public Placement(EvacuatedDomains evacuated, DomainRegions regions) {
        mEvacuated = evacuated;
        mRegions = regions;
    }

    /** Creates rules without evacuations, regions and homes. */
    public static Placement unrestricted() {
        return new Placement(new EvacuatedDomains(), DomainRegions.NONE);
    }

    /** Returns the evacuated failure domains. */
    public EvacuatedDomains evacuated() {
        return mEvacuated;
    }

    /** Returns whether a request with the given homes may run in a failure domain now. */
    public boolean allows(FailureDomain domain, HomeRegions homes) {
        return !mEvacuated.contains(domain) && isHome(domain, homes);
    }

    /** Returns whether a failure domain is in one of the given homes. */
    boolean isHome(FailureDomain domain, HomeRegions homes) {
        return !homes.isRestricted() || mRegions.of(domain).filter(homes::allows).isPresent();
    }
}
