package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

import java.util.List;

/**
 * Provides the VMs believed to be live, and which of them are homes that draw from the platform.
 *
 * <p>A wrong belief causes additional calls but never overspending. Implementations are thread-safe
 * and never block.
 */
public interface BudgetHomes {
    /** Returns the VMs believed to be live, including this one, nearest first. */
    List<VmId> live();

    /**
     * Returns the homes of an organisation, which draw from the platform and pass tokens on to
     * other VMs, nearest first.
     */
    List<VmId> homes(OrganisationId organisation);
}
