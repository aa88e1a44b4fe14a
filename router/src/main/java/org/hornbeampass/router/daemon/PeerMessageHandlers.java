package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.budget.AskGrant;
import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.budget.MoveAck;
import org.hornbeampass.coordination.budget.MoveGrant;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.config.PullRequest;
import org.hornbeampass.coordination.config.RevisionReport;
import org.hornbeampass.coordination.config.RevisionsRequest;
import org.hornbeampass.coordination.config.SnapshotRequest;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.IndirectPing;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.requests.SubmitEntries;
import org.hornbeampass.transport.peer.PeerTransport;

/**
 * Registers the handlers for messages from other routers, all in one place.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class PeerMessageHandlers {
    private PeerMessageHandlers() {}

    /** Registers the handler of each type of message. */
    static void register(PeerTransport peers, Coordination coordination) {
        Membership membership = coordination.membership();
        peers.on(Ping.class, membership::onPing);
        peers.on(Gossip.class, membership::onGossip);
        peers.on(IndirectPing.class, membership::onIndirectPing);
        peers.on(SyncRequest.class, membership::onSyncRequest);
        ConfigStore config = coordination.config();
        peers.on(PullRequest.class, config::onPullRequest);
        peers.on(SnapshotRequest.class, config::onSnapshotRequest);
        peers.on(RevisionReport.class, config::onRevisionReport);
        peers.on(RevisionsRequest.class, config::onRevisionsRequest);
        BudgetLedger budgets = coordination.budgets();
        peers.on(AskGrant.class, budgets::onAsk);
        peers.on(MoveGrant.class, budgets::onMove);
        peers.on(MoveAck.class, budgets::onMoveAck);
        peers.on(SubmitEntries.class, coordination.requests().submitHandler());
    }
}
