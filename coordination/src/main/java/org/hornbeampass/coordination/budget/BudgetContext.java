package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

import java.util.Set;

/**
 * Dependencies that the budgets of all organisations on one VM share.
 *
 * <p>Immutable except for {@code unresponsivePeers}; all components are thread-safe.
 *
 * @param self this VM
 * @param platform the platform
 * @param peers the other routers
 * @param homes the live VMs and the homes of each organisation
 * @param settings time and size limits
 * @param policy decides how many tokens are drawn
 * @param unresponsivePeers the peers that did not reply when they were last asked for tokens
 */
record BudgetContext(
        VmId self,
        Platform platform,
        PeerNetwork peers,
        BudgetHomes homes,
        BudgetSettings settings,
        GrantPolicy policy,
        Set<VmId> unresponsivePeers) {
    /**
     * Returns whether this VM is a home of an organisation, and so draws from the platform for it.
     */
    boolean isHome(OrganisationId organisation) {
        return homes.homes(organisation).contains(self);
    }
}
