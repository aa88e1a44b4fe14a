package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.experiment.routing.SimulatedUpstream.Sent;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Measures for how long a leaving, dead, unreachable or frozen runner still gets work, and prints a
 * table.
 *
 * <p>Steady work is what a VM sends that has not ejected the runner; what it sends to one that it
 * ejected are probes. Both are counted over all VMs and to the end of the run.
 */
public final class LeavingComparison {
    private static final double FAULT_AT_MS = 10_000;
    private static final double BOUND_MS = 3_000;
    private static final double LIST_LAG_MS = 2_000;
    private static final long[] LAGS_MS = {100, 1_000, 5_000};
    private static final int SEEDS = 5;

    private LeavingComparison() {}

    /** Runs all faults and lags; takes no arguments. */
    public static void main(String[] args) {
        System.out.println(
                "| site | runner 0 | report lag ms | last steady work after s (median) | (worst) |"
                        + " attempts after 3 s: steady (mean) | probes (mean) | (worst) |"
                        + " least s between one VM's probes | failed requests |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        List<Supplier<String>> rows = new ArrayList<>();
        for (Site site : Site.values()) {
            for (UpstreamFault fault : UpstreamFault.values()) {
                if (fault == UpstreamFault.NONE || fault == UpstreamFault.ERRORS) {
                    continue;
                }
                for (long lagMs : LAGS_MS) {
                    rows.add(() -> row(site, fault, lagMs));
                }
            }
        }
        rows.parallelStream().map(Supplier::get).forEachOrdered(System.out::println);
    }

    private static String row(Site site, UpstreamFault fault, long lagMs) {
        List<Double> lastSteady = new ArrayList<>();
        List<Long> probes = new ArrayList<>();
        long steady = 0;
        int failures = 0;
        double leastMs = Double.MAX_VALUE;
        for (int seed = 1; seed <= SEEDS; seed++) {
            RoutingSimulation simulation = run(site, fault, lagMs, seed);
            List<Sent> sent = simulation.runners().get(0).sent();
            lastSteady.add(lastSteadyMs(sent) / 1_000);
            probes.add(late(sent, true));
            steady += late(sent, false);
            leastMs = Math.min(leastMs, leastBetweenProbesMs(sent));
            failures +=
                    simulation.measurements().mFailures.values().stream().mapToInt(n -> n).sum();
        }
        lastSteady.sort(Double::compare);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %.2f | %.2f | %.1f | %.1f | %d | %s | %d |",
                site,
                fault,
                lagMs,
                lastSteady.get(SEEDS / 2),
                lastSteady.get(SEEDS - 1),
                (double) steady / SEEDS,
                probes.stream().mapToLong(n -> n).average().orElse(0),
                Collections.max(probes),
                leastMs == Double.MAX_VALUE ? "-" : String.format("%.2f", leastMs / 1_000),
                failures);
    }

    private static double lastSteadyMs(List<Sent> sent) {
        return sent.stream()
                .filter(s -> !s.probe())
                .mapToDouble(s -> s.atMs() - FAULT_AT_MS)
                .max()
                .orElse(0);
    }

    private static long late(List<Sent> sent, boolean probe) {
        return sent.stream()
                .filter(s -> s.probe() == probe && s.atMs() > FAULT_AT_MS + BOUND_MS)
                .count();
    }

    private static double leastBetweenProbesMs(List<Sent> sent) {
        Map<Integer, Double> last = new HashMap<>();
        double least = Double.MAX_VALUE;
        for (Sent each : sent) {
            Double before = each.probe() ? last.put(each.vm(), each.atMs()) : null;
            least = before == null ? least : Math.min(least, each.atMs() - before);
        }
        return least;
    }

    private static RoutingSimulation run(Site site, UpstreamFault fault, long lagMs, int seed) {
        RoutingSimulation simulation =
                new RoutingSimulation(
                        SimulationSettings.of(site, RoutingPolicy.PREDICTED_WAIT, lagMs, seed));
        SimulatedUpstream runner = simulation.runners().get(0);
        VirtualClock clock = simulation.clock();
        clock.at(FAULT_AT_MS, () -> runner.setFault(fault));
        if (fault == UpstreamFault.LEAVING) {
            clock.at(FAULT_AT_MS + LIST_LAG_MS, () -> simulation.list(List.of(runner)));
        }
        simulation.run();
        return simulation;
    }
}
