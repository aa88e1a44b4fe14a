package org.hornbeampass.testing;

import org.hornbeampass.coordination.config.ConfigSettings;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A fleet of {@link FakeRouter}s in virtual time, deterministic for a given seed.
 *
 * <p>VMs are named {@code vm-0}, {@code vm-1} and so on; VM number n is in region {@code r(n mod
 * regions)} and in one of the failure domains of that region. Not thread-safe: tests run on one
 * thread.
 */
public final class FakeFleet {
    private static final long START_MS = 1_000_000;
    private static final long TICK_MS = 100;
    private static final int SEEDS = 3;

    private final VirtualTime mTime = new VirtualTime(START_MS);
    private final FakeVms mVms = new FakeVms(mTime);
    private final FakePeerNetwork mNetwork;
    private final FaultyPlatform mPlatform;
    private final MembershipSettings mSettings;
    private final ConfigSettings mConfigSettings;
    private final int mRegions;
    private final int mDomainsPerRegion;
    private final Map<String, FakeRouter> mRouters = new TreeMap<>();
    private final Map<String, Long> mIncarnations = new TreeMap<>();

    /** Creates a fleet without VMs. */
    public FakeFleet(
            long seed,
            int regions,
            int domainsPerRegion,
            MembershipSettings settings,
            ConfigSettings configSettings) {
        mNetwork = new FakePeerNetwork(mTime, mVms, seed);
        mPlatform = new FaultyPlatform(mTime, mVms, seed + 1);
        mSettings = settings;
        mConfigSettings = configSettings;
        mRegions = regions;
        mDomainsPerRegion = domainsPerRegion;
    }

    /** Creates a fleet of one region with three failure domains, whose VMs are live and joined. */
    public static FakeFleet started(long seed, int size) {
        return started(seed, size, 1, 3);
    }

    /** Creates a fleet whose VMs are live and joined. */
    public static FakeFleet started(long seed, int size, int regions, int domainsPerRegion) {
        FakeFleet fleet =
                new FakeFleet(
                        seed,
                        regions,
                        domainsPerRegion,
                        MembershipSettings.defaults(),
                        ConfigSettings.defaults());
        for (int i = 0; i < size; i++) {
            fleet.start("vm-" + i);
        }
        fleet.runFor(15_000);
        return fleet;
    }

    /** Starts a VM, or a new incarnation of it after killing the previous one. */
    public FakeRouter start(String name) {
        FakeRouter old = mRouters.get(name);
        if (old != null) {
            mVms.kill(old.vm());
        }
        return startAs(new VmId(name, mIncarnations.merge(name, 1L, Long::sum)));
    }

    /** Starts a process without state under a given identity, which may have been used before. */
    public FakeRouter startAs(VmId vm) {
        String name = vm.name();
        Member self = createMember(vm);
        FakeRouter router =
                new FakeRouter(self, mNetwork, mPlatform, seeds(), mSettings, mConfigSettings);
        mRouters.put(name, router);
        scheduleTicks(router, numberOf(name) % TICK_MS);
        return router;
    }

    private void scheduleTicks(FakeRouter router, long delayMs) {
        mTime.after(
                delayMs,
                t -> {
                    if (mVms.isDead(router.vm()) || mRouters.get(router.vm().name()) != router) {
                        return;
                    }
                    if (mVms.isPaused(router.vm())) {
                        scheduleTicks(router, TICK_MS);
                        return;
                    }
                    router.tick(t);
                    scheduleTicks(router, TICK_MS);
                });
    }

    private Member createMember(VmId vm) {
        int number = numberOf(vm.name());
        int region = number % mRegions;
        int domain = number / mRegions % mDomainsPerRegion;
        return new Member(
                vm,
                "10.0.0." + number + ":8080",
                "10.0.0." + number + ":7070",
                new Region("r" + region),
                new FailureDomain("r" + region + "-d" + domain),
                MemberState.LIVE);
    }

    private static int numberOf(String name) {
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }

    private static List<Seed> seeds() {
        List<Seed> seeds = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) {
            seeds.add(new Seed("vm-" + i, "10.0.0." + i + ":7070"));
        }
        return seeds;
    }

    /** Kills the current incarnation of a VM without notice to the others. */
    public void kill(String name) {
        mVms.kill(router(name).vm());
    }

    /** Pauses a VM. */
    public void pause(String name) {
        mVms.pause(router(name).vm());
    }

    /** Resumes a VM. */
    public void resume(String name) {
        mVms.resume(router(name).vm());
    }

    /** Cuts the network between the VMs that match and all others. */
    public void isolate(Predicate<Member> side) {
        for (FakeRouter one : mRouters.values()) {
            for (FakeRouter other : mRouters.values()) {
                if (side.test(one.self()) && !side.test(other.self())) {
                    mNetwork.cut(one.vm().name(), other.vm().name());
                }
            }
        }
    }

    /** Runs all tasks that are due within a duration. */
    public void runFor(long durationMs) {
        mTime.runFor(durationMs);
    }

    /** Returns the current virtual time in milliseconds. */
    public long nowMs() {
        return mTime.nowMs();
    }

    /** Returns the network, to inject faults. */
    public FakePeerNetwork network() {
        return mNetwork;
    }

    /** Returns the platform, to inject faults. */
    public FaultyPlatform platform() {
        return mPlatform;
    }

    /** Returns the newest incarnation of a VM. */
    public FakeRouter router(String name) {
        return mRouters.get(name);
    }

    /** Returns the newest incarnations that are not dead, in the order of names. */
    public Collection<FakeRouter> running() {
        return mRouters.values().stream().filter(r -> !mVms.isDead(r.vm())).toList();
    }

    /** Returns whether the newest incarnation of a VM is paused. */
    public boolean isPaused(String name) {
        return mVms.isPaused(router(name).vm());
    }

    /** Delivers to all running VMs a platform list that contains the given VMs. */
    public void deliverPlatformList(long version, Predicate<FakeRouter> listed) {
        List<ListedVm> list =
                mRouters.values().stream()
                        .filter(listed)
                        .map(FakeRouter::self)
                        .map(FakeFleet::toListedVm)
                        .toList();
        for (FakeRouter router : running()) {
            router.membership().onPlatformList(nowMs(), version, list);
        }
    }

    private static ListedVm toListedVm(Member m) {
        return new ListedVm(
                m.vm(), m.httpAddress(), m.peerAddress(), m.region(), m.domain(), false);
    }
}
