package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

import java.util.List;

/**
 * Tells which VMs are believed to be live and which of them draw from the platform.
 *
 * <p>A wrong belief costs calls and never safety. Implementations are thread-safe and never block.
 */
public interface BudgetHomes {
    /** Returns the VMs believed to be live, this one included, near ones first. */
    List<VmId> live();

    /** Returns the VMs that draw for an organisation and hand on to others, near ones first. */
    List<VmId> homes(OrganisationId organisation);
}
