package org.hornbeampass.coordination.address;

import org.hornbeampass.state.OrganisationId;

/**
 * Estimates how much an organisation sends, which determines its number of homes.
 *
 * <p>All VMs should return similar rates; while they differ, only locality suffers. Implementations
 * are thread-safe and never block.
 */
@FunctionalInterface
public interface OrganisationDemand {
    /** Returns the requests per second of an organisation over all VMs; 0 if unknown. */
    double requestsPerSecond(OrganisationId organisation);
}
