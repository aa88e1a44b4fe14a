package org.hornbeampass.experiment.membership;

import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A fleet of lightweight VMs in one JVM: 3 regions with 8 failure domains from 24 VMs on, one
 * region with 3 failure domains below.
 *
 * <p>Not thread-safe: one thread runs an experiment.
 */
final class SimulatedFleet {
    static final long TICK_MS = 100;
    private static final int SMALL = 24;
    private static final int SEEDS = 5;
    private static final int[] REGION_OF_DOMAIN = {0, 1, 2, 0, 1, 2, 0, 1};

    final EventQueue mEvents = new EventQueue(1_000_000);
    final Random mRandom;
    final CountingNetwork mNetwork;
    final CountingPlatform mPlatform;
    private final int mSize;
    private final Map<String, SimulatedRouter> mRouters = new TreeMap<>();
    private final Map<String, Long> mIncarnations = new TreeMap<>();

    SimulatedFleet(int size, long seed) {
        mSize = size;
        mRandom = new Random(seed);
        mNetwork = new CountingNetwork(mEvents, seed + 1);
        mPlatform = new CountingPlatform(mEvents);
    }

    /** Makes a fleet whose VMs all run and know each other. */
    static SimulatedFleet settled(int size, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        for (int i = 0; i < size; i++) {
            int number = i;
            fleet.mEvents.after(fleet.mRandom.nextInt(10_000), t -> fleet.start(number));
        }
        fleet.mEvents.runFor(120_000);
        for (SimulatedRouter router : fleet.running()) {
            if (router.mMembership.view().live().size() != size) {
                throw new IllegalStateException("the fleet did not settle in two minutes");
            }
        }
        return fleet;
    }

    SimulatedRouter start(int number) {
        String name = String.format(Locale.ROOT, "vm-%03d", number);
        long incarnation = mEvents.nowMs() + mIncarnations.merge(name, 1L, Long::sum);
        SimulatedRouter router =
                new SimulatedRouter(
                        place(number, new VmId(name, incarnation)),
                        mNetwork,
                        mPlatform,
                        seeds(),
                        mRandom.nextLong());
        mRouters.put(name, router);
        tick(router, mRandom.nextInt((int) TICK_MS));
        return router;
    }

    private void tick(SimulatedRouter router, long delayMs) {
        mEvents.after(
                delayMs,
                t -> {
                    if (mRouters.get(router.name()) == router) {
                        router.tick(t);
                        tick(router, TICK_MS);
                    }
                });
    }

    private Member place(int number, VmId vm) {
        int domain = mSize < SMALL ? number % 3 : number % REGION_OF_DOMAIN.length;
        int region = mSize < SMALL ? 0 : REGION_OF_DOMAIN[domain];
        String host = "10.20." + number / 250 + "." + number % 250;
        return new Member(
                vm,
                host + ":8080",
                host + ":7070",
                new Region("region-" + region),
                new FailureDomain("domain-" + domain),
                MemberState.LIVE);
    }

    private static List<Seed> seeds() {
        List<Seed> seeds = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) {
            seeds.add(new Seed(String.format(Locale.ROOT, "vm-%03d", i), "10.20.0." + i + ":7070"));
        }
        return seeds;
    }

    void kill(String name) {
        mRouters.remove(name);
        mNetwork.remove(name);
    }

    Collection<SimulatedRouter> running() {
        return mRouters.values();
    }

    Optional<SimulatedRouter> router(String name) {
        return Optional.ofNullable(mRouters.get(name));
    }

    SimulatedRouter anyRouter() {
        List<SimulatedRouter> all = new ArrayList<>(mRouters.values());
        return all.get(mRandom.nextInt(all.size()));
    }

    /** Proposes a change of about the size of an organisation's record at some VM. */
    void proposeChange(SimulatedRouter at, int number) {
        ConfigChange change =
                number == 0
                        ? new ConfigChange.PutTemplate(new Template("desk", Parameters.none()))
                        : new ConfigChange.PutOrganisation(organisation(number));
        at.mConfig.propose(
                mEvents.nowMs(),
                change,
                OptionalLong.empty(),
                (t, answer) ->
                        answer.peekLeft(
                                failure -> {
                                    throw new IllegalStateException(failure.message());
                                }));
    }

    private static OrganisationSpec organisation(int number) {
        String key = String.format(Locale.ROOT, "%064x", number);
        return new OrganisationSpec(
                new OrganisationId("organisation-" + number),
                "desk",
                Parameters.none(),
                Set.of(),
                Map.of("desk-key", key));
    }
}
