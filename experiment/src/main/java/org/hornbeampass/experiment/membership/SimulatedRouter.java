package org.hornbeampass.experiment.membership;

import org.hornbeampass.coordination.address.AddressBook;
import org.hornbeampass.coordination.address.AddressSettings;
import org.hornbeampass.coordination.config.ConfigSettings;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.config.PullRequest;
import org.hornbeampass.coordination.config.RevisionReport;
import org.hornbeampass.coordination.config.RevisionsRequest;
import org.hornbeampass.coordination.config.SnapshotRequest;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.IndirectPing;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.member.Member;

import java.util.List;
import java.util.Random;

/**
 * One VM's membership, addresses and configuration in an experiment.
 *
 * <p>Not thread-safe: one thread runs an experiment.
 */
final class SimulatedRouter {
    final Member mSelf;
    final CountingNetwork.Node mNode;
    final Membership mMembership;
    final ConfigStore mConfig;
    final AddressBook mAddresses;

    SimulatedRouter(
            Member self,
            CountingNetwork network,
            CountingPlatform platform,
            List<Seed> seeds,
            long seed) {
        mSelf = self;
        mNode = network.join(self);
        PeerNetwork peers = network.connect(mNode);
        mMembership =
                new Membership(self, peers, seeds, MembershipSettings.defaults(), new Random(seed));
        mConfig =
                new ConfigStore(
                        self.vm(),
                        platform.connect(self),
                        peers,
                        mMembership,
                        ConfigSettings.defaults(),
                        new Random(seed + 1));
        mAddresses =
                new AddressBook(
                        mMembership::view,
                        o -> 0,
                        AddressSettings.defaults(),
                        new Random(seed + 2));
        network.register(mNode, Ping.class, mMembership::onPing);
        network.register(mNode, Gossip.class, mMembership::onGossip);
        network.register(mNode, IndirectPing.class, mMembership::onIndirectPing);
        network.register(mNode, SyncRequest.class, mMembership::onSyncRequest);
        network.register(mNode, PullRequest.class, mConfig::onPullRequest);
        network.register(mNode, SnapshotRequest.class, mConfig::onSnapshotRequest);
        network.register(mNode, RevisionReport.class, mConfig::onRevisionReport);
        network.register(mNode, RevisionsRequest.class, mConfig::onRevisionsRequest);
    }

    String name() {
        return mSelf.name();
    }

    void tick(long nowMs) {
        mMembership.tick(nowMs);
        mConfig.tick(nowMs);
    }
}
