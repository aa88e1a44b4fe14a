package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;

import java.util.Set;

/**
 * What all organisations' budgets on one VM share.
 *
 * <p>Immutable but for {@code silentPeers}; its parts are thread-safe.
 *
 * @param self this VM
 * @param platform the platform
 * @param peers the other routers
 * @param homes who is live, and who draws for whom
 * @param settings times and bounds
 * @param policy how much is drawn
 * @param unresponsivePeers the peers that gave no reply when they were last asked for tokens
 */
record BudgetContext(
        VmId self,
        Platform platform,
        PeerNetwork peers,
        BudgetHomes homes,
        BudgetSettings settings,
        GrantPolicy policy,
        Set<VmId> unresponsivePeers) {
    /** Returns whether this VM draws from the platform for an organisation in the usual case. */
    boolean isHome(OrganisationId organisation) {
        return homes.homes(organisation).contains(self);
    }
}
