package org.hornbeampass.coordination.address;

import org.hornbeampass.state.OrganisationId;

/**
 * Tells how much an organisation sends, which decides on how many VMs it is at home.
 *
 * <p>All VMs should tell about the same; where they differ for a while, nothing but locality is
 * lost. Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface OrganisationDemand {
    /** Returns an organisation's requests per second over all VMs; 0 where it is not known. */
    double requestsPerSecond(OrganisationId organisation);
}
