package org.hornbeampass.experiment.membership;

import org.hornbeampass.coordination.platform.PlatformCall;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures bytes, processor time and memory of membership and configuration per VM against the size
 * of the fleet, calm but for one configuration change each 21 s (4,100 a day).
 *
 * <p>Arguments: the seed, then sizes of fleets. The news of the start is given five minutes to run
 * dry before the count begins. One thread.
 */
public final class FleetCost {
    private static final int[] SIZES = {8, 50, 100, 200, 390};
    private static final int SECONDS = 120;
    private static final long DRY_MS = 180_000;
    private static final int CHANGE_EVERY_MS = 21_000;

    private FleetCost() {}

    /** Prints a table. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        Figures.print(
                "| VMs | sent B/s | received B/s | worst VM, both B/s | messages/s | CPU ms/s"
                        + " | heap KB/VM | platform reads/s | watches waiting |");
        Figures.print("|---|---|---|---|---|---|---|---|---|");
        if (args.length < 2) {
            for (int size : SIZES) {
                measure(size, seed);
            }
        }
        for (int i = 1; i < args.length; i++) {
            measure(Integer.parseInt(args[i]), seed);
        }
    }

    private static void measure(int size, long seed) {
        long heapBefore = usedHeap();
        SimulatedFleet fleet = SimulatedFleet.settled(size, seed);
        fleet.proposeChange(fleet.anyRouter(), 0);
        fleet.mEvents.runFor(DRY_MS);
        long heapAfter = usedHeap();
        List<long[]> before = counts(fleet);
        long reads = fleet.mPlatform.calls(PlatformCall.Kind.READ);
        long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int ms = 0, change = 1; ms < SECONDS * 1_000; ms += CHANGE_EVERY_MS, change++) {
            fleet.proposeChange(fleet.anyRouter(), change);
            fleet.mEvents.runFor(Math.min(CHANGE_EVERY_MS, SECONDS * 1_000 - ms));
        }
        long cpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore;
        List<long[]> after = counts(fleet);
        double worst = 0;
        long[] sum = new long[3];
        for (int i = 0; i < after.size(); i++) {
            long sent = after.get(i)[0] - before.get(i)[0];
            long received = after.get(i)[1] - before.get(i)[1];
            sum[0] += sent;
            sum[1] += received;
            sum[2] += after.get(i)[2] - before.get(i)[2];
            worst = Math.max(worst, (sent + received) / (double) SECONDS);
        }
        double perVm = (double) SECONDS * size;
        Figures.print(
                "| %d | %.0f | %.0f | %.0f | %.1f | %.2f | %.0f | %.1f | %d |",
                size,
                sum[0] / perVm,
                sum[1] / perVm,
                worst,
                sum[2] / perVm,
                cpuNs / 1e6 / perVm,
                (heapAfter - heapBefore) / 1024.0 / size,
                (fleet.mPlatform.calls(PlatformCall.Kind.READ) - reads) / (double) SECONDS,
                fleet.mPlatform.waitingWatches());
    }

    private static List<long[]> counts(SimulatedFleet fleet) {
        List<long[]> counts = new ArrayList<>();
        for (SimulatedRouter router : fleet.running()) {
            CountingNetwork.Node node = router.mNode;
            counts.add(new long[] {node.sentBytes(), node.receivedBytes(), node.messages()});
        }
        return counts;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
