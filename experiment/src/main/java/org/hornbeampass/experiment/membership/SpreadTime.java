package org.hornbeampass.experiment.membership;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.state.Region;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Measures how long an accepted configuration change takes until each VM runs it, and what it costs
 * the platform: without faults, with one region cut off from the platform, and with one region cut
 * off from the platform and from the other regions (then for the VMs of the others).
 *
 * <p>Arguments: VMs, changes, seed. One thread.
 */
public final class SpreadTime {
    private static final long STEP_MS = 50;
    private static final long LIMIT_MS = 60_000;
    private static final long PAUSE_MS = 21_000;

    private SpreadTime() {}

    /** Prints a table. */
    public static void main(String[] args) {
        int size = args.length > 0 ? Integer.parseInt(args[0]) : 390;
        int changes = args.length > 1 ? Integer.parseInt(args[1]) : 20;
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        SimulatedFleet fleet = SimulatedFleet.settled(size, seed);
        fleet.proposeChange(fleet.anyRouter(), 0);
        fleet.mEvents.runFor(PAUSE_MS);
        Figures.print(
                "| %d VMs, %d changes each | in force everywhere, s, median | worst | platform"
                        + " reads/s | writes/s |",
                size, changes);
        Figures.print("|---|---|---|---|---|");
        run(fleet, "no fault", fleet.running(), changes, 1);
        Region cutOff = new Region(size < 24 ? "region-none" : "region-2");
        fleet.mPlatform.cutOff(cutOff);
        fleet.mEvents.runFor(PAUSE_MS);
        run(fleet, "one region without platform", fleet.running(), changes, 1 + changes);
        fleet.mNetwork.cutOff(cutOff);
        fleet.mEvents.runFor(60_000);
        List<SimulatedRouter> others =
                fleet.running().stream().filter(r -> !r.mSelf.region().equals(cutOff)).toList();
        run(fleet, "one region without platform and peers", others, changes, 1 + 2 * changes);
        fleet.mNetwork.healAll();
        double healed = untilInForce(fleet, fleet.running(), 1 + 3 * changes);
        Figures.print("the region has caught up %.1f s after its peers came back", healed);
    }

    private static void run(
            SimulatedFleet fleet,
            String name,
            Collection<SimulatedRouter> routers,
            int changes,
            int firstChange) {
        List<SimulatedRouter> proposers = new ArrayList<>(routers);
        proposers.removeIf(r -> r.mSelf.region().value().equals("region-2"));
        List<Double> seconds = new ArrayList<>();
        long reads = fleet.mPlatform.calls(PlatformCall.Kind.READ);
        long writes = fleet.mPlatform.calls(PlatformCall.Kind.WRITE);
        long startMs = fleet.mEvents.nowMs();
        for (int i = 0; i < changes; i++) {
            SimulatedRouter at = proposers.get(fleet.mRandom.nextInt(proposers.size()));
            fleet.proposeChange(at, firstChange + i);
            seconds.add(untilInForce(fleet, routers, firstChange + i + 1));
            fleet.mEvents.runFor(PAUSE_MS);
        }
        double ran = (fleet.mEvents.nowMs() - startMs) / 1e3;
        Figures.print(
                "| %s | %.2f | %.2f | %.1f | %.2f |",
                name,
                Figures.median(seconds),
                Figures.worst(seconds),
                (fleet.mPlatform.calls(PlatformCall.Kind.READ) - reads) / ran,
                (fleet.mPlatform.calls(PlatformCall.Kind.WRITE) - writes) / ran);
    }

    private static double untilInForce(
            SimulatedFleet fleet, Collection<SimulatedRouter> routers, long revision) {
        for (long ms = 0; ms < LIMIT_MS; ms += STEP_MS) {
            if (routers.stream().allMatch(r -> r.mConfig.snapshot().revision() >= revision)) {
                return ms / 1e3;
            }
            fleet.mEvents.runFor(STEP_MS);
        }
        throw new IllegalStateException("revision " + revision + " is not everywhere in a minute");
    }
}
