package org.hornbeampass.testing;

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
import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One incarnation of a VM with membership, addresses and configuration, which uses the fakes of
 * this package.
 *
 * <p>Not thread-safe: tests run on one thread.
 */
public final class FakeRouter {
    private final Member mSelf;
    private final Membership mMembership;
    private final ConfigStore mConfig;
    private final AddressBook mAddresses;
    private final List<VmId> mProvedGone = new ArrayList<>();

    FakeRouter(
            Member self,
            FakePeerNetwork network,
            FaultyPlatform platform,
            List<Seed> seeds,
            MembershipSettings settings,
            ConfigSettings configSettings) {
        mSelf = self;
        VmId vm = self.vm();
        PeerNetwork peers = network.connect(vm);
        long seed = vm.hashCode();
        mMembership = new Membership(self, peers, seeds, settings, new Random(seed));
        mMembership.addListener(
                new MembershipListener() {
                    @Override
                    public void onProvedGone(long nowMs, VmId gone) {
                        mProvedGone.add(gone);
                    }
                });
        mConfig =
                new ConfigStore(
                        vm,
                        platform.connect(vm),
                        peers,
                        mMembership,
                        configSettings,
                        new Random(seed + 1));
        mAddresses =
                new AddressBook(
                        mMembership::view,
                        o -> 0,
                        AddressSettings.defaults(),
                        new Random(seed + 2));
        register(network);
    }

    private void register(FakePeerNetwork network) {
        VmId vm = mSelf.vm();
        network.register(vm, Ping.class, mMembership::onPing);
        network.register(vm, Gossip.class, mMembership::onGossip);
        network.register(vm, IndirectPing.class, mMembership::onIndirectPing);
        network.register(vm, SyncRequest.class, mMembership::onSyncRequest);
        network.register(vm, PullRequest.class, mConfig::onPullRequest);
        network.register(vm, SnapshotRequest.class, mConfig::onSnapshotRequest);
        network.register(vm, RevisionReport.class, mConfig::onRevisionReport);
        network.register(vm, RevisionsRequest.class, mConfig::onRevisionsRequest);
    }

    void tick(long nowMs) {
        mMembership.tick(nowMs);
        mConfig.tick(nowMs);
    }

    /** Returns the VM and incarnation. */
    public VmId vm() {
        return mSelf.vm();
    }

    /** Returns the member data of this VM, with its region and failure domain. */
    public Member self() {
        return mSelf;
    }

    /** Returns its membership. */
    public Membership membership() {
        return mMembership;
    }

    /** Returns its configuration. */
    public ConfigStore config() {
        return mConfig;
    }

    /** Returns its addresses. */
    public AddressBook addresses() {
        return mAddresses;
    }

    /** Returns the VMs that its listener received as proved gone, in that order. */
    public List<VmId> provedGone() {
        return mProvedGone;
    }

    /** Returns the state of a VM in its membership view; {@code GONE} if the VM is unknown. */
    public MemberState stateOf(String name) {
        return mMembership.view().member(name).map(Member::state).orElse(MemberState.GONE);
    }
}
