package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.MemberHomes;
import org.hornbeampass.coordination.escrow.PoolHomes;
import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.ratelimit.PermitHomeResolver;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;

/**
 * Which VMs of the fleet are up, for address answers and for shares of fleet-wide bounds.
 *
 * <p>VMs are named by their IP numbers among each other, so that a seed's name is known from its
 * address. Confined to one event loop.
 */
final class FleetView implements PermitHomeResolver {
    private static final String PREFIX = "vms/";

    /** How long to wait before registering again after a failed call, in milliseconds. */
    private static final long RETRY_MS = 1_000;

    /** How long it takes a new VM to hear of all others, in milliseconds. */
    private static final long SETTLE_MS = 4_000;

    /**
     * For how long after its start a VM that was told of others holds no pool, unless it is asked
     * as a home, in milliseconds: it would choose homes among the few that it knows. A seed answers
     * within some hundred, or is asked again after a second; 19 VMs that started at once made 130
     * writes in the first five seconds.
     */
    private static final long NEWCOMER_MS = 2_000;

    /**
     * How many VMs are taken to share the fleet's bounds until a new VM has heard of the others: a
     * VM that thinks that it is alone takes whole budgets, and leaves none to the others.
     */
    private static final int VMS_UNTIL_KNOWN = 8;

    private final Platform mPlatform;
    private final Membership mMembership;
    private final VmListReader mList;
    private final ListedVm mSelf;
    private final MemberHomes mHomes = new MemberHomes();
    private final Function<List<Member>, BroadcastPaths> mFleetPaths;
    private final boolean mHasSeeds;
    private boolean mRegistered;
    private boolean mOpen;
    private long mNextMs;
    private int mMostVms = 1;
    private long mStartedMs = -1;
    private boolean mSettled;
    private boolean mKnown;

    FleetView(
            RelayDaemonSettings settings,
            VmId vm,
            PeerNetwork peers,
            Platform platform,
            Random random) {
        mPlatform = platform;
        Member self =
                new Member(
                        vm,
                        text(settings.listen().callers()),
                        text(settings.listen().peers()),
                        settings.region(),
                        settings.domain(),
                        MemberState.LIVE);
        mFleetPaths = BroadcastPaths.cachedChooser(self);
        mSelf =
                new ListedVm(
                        vm,
                        self.httpAddress(),
                        self.peerAddress(),
                        self.region(),
                        self.domain(),
                        false);
        List<Seed> seeds = seeds(settings.seeds());
        mHasSeeds = seeds.stream().anyMatch(s -> !s.name().equals(vm.name()));
        mMembership = new Membership(self, peers, seeds, MembershipSettings.defaults(), random);
        mList = new VmListReader(mMembership, platform, random);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns seeds under the names of their VMs; this VM's own among them does no harm. */
    private static List<Seed> seeds(List<InetSocketAddress> addresses) {
        return addresses.stream()
                .map(s -> new Seed(s.getAddress().getHostAddress(), text(s)))
                .toList();
    }

    /** Adds VMs to ask for others. */
    void addSeeds(List<InetSocketAddress> addresses) {
        mMembership.addSeeds(seeds(addresses));
    }

    Membership membership() {
        return mMembership;
    }

    Optional<InetSocketAddress> peerAddress(String name) {
        return mMembership.peerAddress(name).flatMap(PeerAddresses::parse);
    }

    void tick(long nowMs) {
        mStartedMs = mStartedMs < 0 ? nowMs : mStartedMs;
        mSettled |= nowMs - mStartedMs >= SETTLE_MS;
        mMembership.tick(nowMs);
        updateHomes(nowMs);
        if (!mRegistered && !mOpen && nowMs >= mNextMs) {
            register(nowMs);
        }
        if (mRegistered) {
            mList.tick(nowMs);
        }
    }

    /** Lets the homes of the pools follow the members; a VM that is only suspected stays one. */
    private void updateHomes(long nowMs) {
        mKnown = !mHasSeeds || nowMs - mStartedMs >= NEWCOMER_MS;
        mHomes.update(mMembership.view().self(), homeMembers(), mKnown);
    }

    private List<Member> homeMembers() {
        MembershipView view = mMembership.view();
        List<Member> members = new ArrayList<>(view.live());
        members.addAll(view.suspect());
        return members;
    }

    @Override
    public Optional<String> homeOf(String upstream) {
        if (!mKnown) {
            return Optional.empty();
        }
        List<String> names = homeMembers().stream().map(Member::name).toList();
        return RendezvousHash.choose("permits-" + upstream, names);
    }

    @Override
    public String self() {
        return mSelf.vm().name();
    }

    /** Returns whom this VM tells what it has in progress. */
    BroadcastPaths broadcastPaths() {
        return mFleetPaths.apply(mMembership.view().live());
    }

    /** Returns whether this VM is the one of those that are up that keeps a kind of record. */
    boolean isRecordOwner(String kind) {
        List<String> names = new ArrayList<>(otherLiveNames());
        String self = mSelf.vm().name();
        names.add(self);
        return RendezvousHash.choose(kind, names).filter(self::equals).isPresent();
    }

    /** Returns which VMs hold the pools of prepaid tokens. */
    PoolHomes homes() {
        return mHomes;
    }

    /** Puts this VM on the list, over the entry of its former life. */
    private void register(long nowMs) {
        mOpen = true;
        String key = PREFIX + mSelf.vm().name();
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(key, Json.encode(mSelf)),
                (t, reply) -> onRegistered(t, key, reply));
    }

    private void onRegistered(long nowMs, String key, PlatformReply reply) {
        if (reply instanceof PlatformReply.Conflict conflict && conflict.current().isPresent()) {
            mPlatform.submit(
                    nowMs,
                    new PlatformCall.Update(
                            key, Json.encode(mSelf), conflict.current().get().version()),
                    (t, second) -> done(t, second));
            return;
        }
        done(nowMs, reply);
    }

    private void done(long nowMs, PlatformReply reply) {
        mOpen = false;
        mRegistered = reply instanceof PlatformReply.Written;
        mNextMs = nowMs + RETRY_MS;
    }

    /** Returns how many VMs share the fleet's bounds: all that were up of late. */
    int sharingVmCount() {
        MembershipView view = mMembership.view();
        int known = view.members().size() - view.leaving().size() - view.gone().size();
        mMostVms = Math.max(mMostVms, known);
        return mSettled ? mMostVms : Math.max(mMostVms, VMS_UNTIL_KNOWN);
    }

    /** Returns the names of other VMs that are up. */
    List<String> otherLiveNames() {
        MembershipView view = mMembership.view();
        return view.live().stream()
                .map(Member::name)
                .filter(n -> !n.equals(mSelf.vm().name()))
                .toList();
    }

    /**
     * Returns the addresses that callers should use. Where most VMs seem to be gone at once, it is
     * this VM that is cut off: callers may still reach the others, which stay in the answer.
     */
    List<InetSocketAddress> callerAddresses(boolean withSelf) {
        MembershipView view = mMembership.view();
        List<Member> usable = new ArrayList<>(view.live());
        int others = view.members().size() - view.leaving().size() - 1;
        boolean cutOff = usable.size() - 1 < others / 2.0;
        if (cutOff) {
            usable.addAll(view.suspect());
            usable.addAll(view.gone());
        }
        return usable.stream()
                .filter(m -> withSelf || !m.vm().equals(mSelf.vm()))
                .map(m -> PeerAddresses.parse(m.httpAddress()))
                .flatMap(Optional::stream)
                .toList();
    }

    void leave(long nowMs) {
        mMembership.leave(nowMs);
    }
}
