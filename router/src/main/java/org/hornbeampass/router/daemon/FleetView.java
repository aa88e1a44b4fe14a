package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.address.AnswerableMembers;
import org.hornbeampass.coordination.escrow.MemberHomes;
import org.hornbeampass.coordination.escrow.PoolHomes;
import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.news.WatchPaths;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.EraListener;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.ratelimit.PermitHomeResolver;
import org.hornbeampass.coordination.ratelimit.SlowStartIssuers;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * This VM's view of which VMs of the fleet are up, for answers about addresses and for its share of
 * fleet-wide limits.
 *
 * <p>VMs use their IP addresses as names among each other, so that a seed's name is known from its
 * address. Confined to one event loop.
 */
final class FleetView implements PermitHomeResolver, SlowStartIssuers, EraListener {
    private static final String VM_PREFIX = "vms/";

    /** Delay before the registration is retried after a failed call, in milliseconds. */
    private static final long RETRY_MS = 1_000;

    /** Time over which VMs register again after the store was restored, in milliseconds. */
    private static final long REGISTRATION_SPREAD_MS = 3_000;

    /** Time in which a new VM learns of all others, in milliseconds. */
    private static final long DISCOVERY_MS = 4_000;

    /**
     * Time after its start in which a VM with seeds holds no pool, unless another VM addresses it
     * as a home, in milliseconds: it would choose homes among the few VMs that it knows. A seed
     * answers within some hundred milliseconds, or is asked again after a second. Without the
     * delay, 19 VMs that started at once made 130 writes in the first five seconds.
     */
    private static final long MIN_HOME_AGE_MS = 2_000;

    /**
     * Number of VMs that a new VM assumes to share the fleet's limits until it has learned of the
     * others: a VM that considers itself the only one takes whole budgets and leaves nothing for
     * the others.
     */
    private static final int ASSUMED_VMS = 8;

    /**
     * How long an unreachable VM may be named in answers about addresses, in milliseconds. It was
     * silent for some seconds before, and callers must not be sent to ended VMs for long.
     */
    private static final long MAX_UNREACHABLE_MS = 1_500;

    /** The number of VMs that issue the permits of an upstream in its slow start. */
    private static final int SLOW_START_ISSUERS = 3;

    private final Platform mPlatform;
    private final Random mRandom;
    private final Membership mMembership;
    private final VmListReader mListReader;
    private final ListedVm mSelf;
    private final AnswerableMembers mAnswerable = new AnswerableMembers(MAX_UNREACHABLE_MS);
    private final MemberHomes mHomes = new MemberHomes();
    private final Function<List<Member>, BroadcastPaths> mBroadcastPaths;
    private final boolean mHasSeeds;
    private boolean mRegistered;
    private boolean mRegistrationInFlight;
    private long mNextRegistrationMs;
    private int mMaxVmsSeen = 1;
    private long mStartedMs = -1;
    private boolean mSettled;
    private boolean mMembersKnown;

    /** The issuers of each upstream's permits in {@link #mIssuersView}. */
    private final Map<String, List<String>> mIssuers = new HashMap<>();

    private MembershipView mIssuersView;
    private List<Member> mWatchMembers = List.of();
    private WatchPaths mWatchPaths = new WatchPaths(false, 0, 1, List.of(), List.of());

    FleetView(
            RelayDaemonSettings settings,
            VmId vm,
            PeerNetwork peers,
            Platform platform,
            Random random) {
        mPlatform = platform;
        mRandom = random;
        Member self =
                new Member(
                        vm,
                        hostAndPort(settings.listen().callers()),
                        hostAndPort(settings.listen().peers()),
                        settings.region(),
                        settings.domain(),
                        MemberState.LIVE);
        mBroadcastPaths = BroadcastPaths.cachedChooser(self);
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
        mListReader = new VmListReader(mMembership, platform, random);
        mIssuersView = mMembership.view();
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns seeds named after their VMs. This VM may be among them; its own entry has no effect.
     */
    private static List<Seed> seeds(List<InetSocketAddress> addresses) {
        return addresses.stream()
                .map(s -> new Seed(s.getAddress().getHostAddress(), hostAndPort(s)))
                .toList();
    }

    /** Adds seeds, from which this VM learns of other VMs. */
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
        mSettled |= nowMs - mStartedMs >= DISCOVERY_MS;
        mMembership.tick(nowMs);
        updateHomes(nowMs);
        mAnswerable.update(nowMs, mMembership.view());
        if (!mRegistered && !mRegistrationInFlight && nowMs >= mNextRegistrationMs) {
            register(nowMs);
        }
        if (mRegistered) {
            mListReader.tick(nowMs);
        }
    }

    /** Updates the homes of the pools to the current members. A suspected VM remains a home. */
    private void updateHomes(long nowMs) {
        mMembersKnown = !mHasSeeds || nowMs - mStartedMs >= MIN_HOME_AGE_MS;
        mHomes.update(mMembership.view().self(), homeMembers(), mMembersKnown);
    }

    private List<Member> homeMembers() {
        MembershipView view = mMembership.view();
        List<Member> members = new ArrayList<>(view.live());
        members.addAll(view.suspect());
        return members;
    }

    @Override
    public Optional<String> homeOf(String upstream) {
        if (!mMembersKnown) {
            return Optional.empty();
        }
        List<String> names = homeMembers().stream().map(Member::name).toList();
        return RendezvousHash.choose("permits-" + upstream, names);
    }

    @Override
    public List<String> issuersOf(String upstream) {
        if (!mMembersKnown) {
            return List.of();
        }
        MembershipView view = mMembership.view();
        if (view != mIssuersView) {
            mIssuersView = view;
            mIssuers.clear();
        }
        return mIssuers.computeIfAbsent(upstream, u -> chooseIssuers(view, u));
    }

    private static List<String> chooseIssuers(MembershipView view, String upstream) {
        List<String> names = view.members().stream().map(Member::name).toList();
        return RendezvousHash.choose("slow-start-" + upstream, names, SLOW_START_ISSUERS);
    }

    @Override
    public boolean isLive(String vm) {
        return mMembership.view().member(vm).filter(m -> m.state() == MemberState.LIVE).isPresent();
    }

    @Override
    public String self() {
        return mSelf.vm().name();
    }

    /** Returns this VM's rank among the VMs that may watch the store for the others. */
    WatchPaths watchPaths() {
        List<Member> live = mMembership.view().live();
        if (live != mWatchMembers || mWatchPaths.known() != mMembersKnown) {
            mWatchMembers = live;
            mWatchPaths = chooseWatchPaths(live);
        }
        return mWatchPaths;
    }

    private WatchPaths chooseWatchPaths(List<Member> live) {
        Map<FailureDomain, List<String>> byDomain = new TreeMap<>();
        live.forEach(
                m -> byDomain.computeIfAbsent(m.domain(), d -> new ArrayList<>()).add(m.name()));
        int watchers = WatchPaths.watchersPerDomain(byDomain.size());
        List<String> ranked = List.of();
        List<String> otherWatchers = new ArrayList<>();
        for (Map.Entry<FailureDomain, List<String>> each : byDomain.entrySet()) {
            String key = "watch-" + each.getKey().value();
            List<String> names = each.getValue();
            if (each.getKey().equals(mSelf.domain())) {
                ranked = RendezvousHash.choose(key, names, names.size());
            } else {
                otherWatchers.addAll(RendezvousHash.choose(key, names, watchers));
            }
        }
        int rank = ranked.indexOf(self());
        return new WatchPaths(
                mMembersKnown,
                rank < 0 ? ranked.size() : rank,
                watchers,
                ranked.stream().filter(n -> !n.equals(self())).toList(),
                otherWatchers);
    }

    /** Returns the paths on which this VM broadcasts its requests in flight. */
    BroadcastPaths broadcastPaths() {
        return mBroadcastPaths.apply(mMembership.view().live());
    }

    /**
     * Returns whether this VM, among those that are up, is the one that writes a kind of record to
     * the store.
     */
    boolean isRecordOwner(String kind) {
        List<String> names = new ArrayList<>(otherLiveNames());
        String self = ownName();
        names.add(self);
        return RendezvousHash.choose(kind, names).filter(self::equals).isPresent();
    }

    /** Returns the name of this VM. */
    String ownName() {
        return mSelf.vm().name();
    }

    /** Returns the homes of the pools of prepaid tokens. */
    PoolHomes homes() {
        return mHomes;
    }

    /** Registers this VM in the platform's list, replacing the entry of an earlier incarnation. */
    private void register(long nowMs) {
        mRegistrationInFlight = true;
        String key = VM_PREFIX + mSelf.vm().name();
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(key, Json.encode(mSelf)),
                (t, reply) -> onRegistered(t, key, reply));
    }

    /**
     * Handles that the store was restored, which may have lost this VM's entry. The VMs of a large
     * fleet write theirs over some seconds.
     */
    @Override
    public void onEra(long nowMs, long formerEra, long era) {
        if (formerEra == 0) {
            return;
        }
        mRegistered = false;
        mNextRegistrationMs = nowMs + mRandom.nextLong(REGISTRATION_SPREAD_MS);
    }

    private void onRegistered(long nowMs, String key, PlatformReply reply) {
        if (reply instanceof PlatformReply.Conflict conflict && conflict.current().isPresent()) {
            StoredObject current = conflict.current().get();
            if (current.value().equals(Json.encode(mSelf))) {
                onRegistrationDone(nowMs, new PlatformReply.Written(current.version()));
                return;
            }
            mPlatform.submit(
                    nowMs,
                    new PlatformCall.Update(key, Json.encode(mSelf), current.version()),
                    (t, second) -> onRegistrationDone(t, second));
            return;
        }
        onRegistrationDone(nowMs, reply);
    }

    private void onRegistrationDone(long nowMs, PlatformReply reply) {
        mRegistrationInFlight = false;
        mRegistered = reply instanceof PlatformReply.Written;
        mNextRegistrationMs = nowMs + RETRY_MS;
    }

    /**
     * Returns the number of VMs that share the fleet's limits: the largest number seen up at once,
     * and at least {@link #ASSUMED_VMS} until the others are known.
     */
    int sharingVmCount() {
        MembershipView view = mMembership.view();
        int known = view.members().size() - view.leaving().size() - view.gone().size();
        mMaxVmsSeen = Math.max(mMaxVmsSeen, known);
        return mSettled ? mMaxVmsSeen : Math.max(mMaxVmsSeen, ASSUMED_VMS);
    }

    /** Returns the other VMs that are up. */
    List<Member> otherLiveMembers() {
        return mMembership.view().live().stream()
                .filter(m -> !m.name().equals(mSelf.vm().name()))
                .toList();
    }

    /** Returns the other VMs that are up or suspected to be down. */
    List<Member> otherMembers() {
        return homeMembers().stream().filter(m -> !m.name().equals(self())).toList();
    }

    /** Returns the names of the other VMs that are up. */
    List<String> otherLiveNames() {
        return otherLiveMembers().stream().map(Member::name).toList();
    }

    /**
     * Returns the VMs that may be named in answers about addresses.
     *
     * @param nowMs the present time in milliseconds
     * @param platformAnswers whether the platform answers this VM
     * @param withSelf whether this VM accepts requests
     */
    List<Member> answerableMembers(long nowMs, boolean platformAnswers, boolean withSelf) {
        return mAnswerable.select(nowMs, mMembership.view(), platformAnswers).stream()
                .filter(m -> withSelf || !m.vm().equals(mSelf.vm()))
                .toList();
    }

    void leave(long nowMs) {
        mMembership.leave(nowMs);
    }
}
