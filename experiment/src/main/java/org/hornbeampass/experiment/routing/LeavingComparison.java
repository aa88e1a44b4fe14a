package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.routing.RoutingPolicy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Measures for how long a leaving, dead, unreachable or frozen runner still gets work, and prints a
 * table.
 *
 * <p>After the bound of three seconds only single probes may go to a runner that did not say that
 * it leaves; they are counted apart.
 */
public final class LeavingComparison {
    private static final double FAULT_AT_MS = 10_000;
    private static final double BOUND_MS = 3_000;
    private static final double PERIOD_MS = 10;
    private static final double LIST_LAG_MS = 2_000;
    private static final long[] LAGS_MS = {100, 1_000, 5_000};
    private static final int SEEDS = 5;

    private LeavingComparison() {}

    /** Runs all faults and lags; takes no arguments. */
    public static void main(String[] args) {
        System.out.println(
                "| site | runner 0 | report lag ms | last steady work after s (median) | (worst) |"
                        + " probes after 3 s (worst) |");
        System.out.println("|---|---|---|---|---|---|");
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
        List<Double> seconds = new ArrayList<>();
        int probes = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Watch watch = run(site, fault, lagMs, seed);
            seconds.add(watch.mLastSteadyMs / 1_000);
            probes = Math.max(probes, watch.mProbes);
        }
        seconds.sort(Double::compare);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %.2f | %.2f | %d |",
                site,
                fault,
                lagMs,
                seconds.get(SEEDS / 2),
                seconds.get(SEEDS - 1),
                probes);
    }

    /** Watches when the runner gets work. */
    private static final class Watch {
        private double mLastSteadyMs;
        private int mProbes;
        private long mSeen = -1;
    }

    private static Watch run(Site site, UpstreamFault fault, long lagMs, int seed) {
        RoutingSimulation simulation =
                new RoutingSimulation(
                        SimulationSettings.of(site, RoutingPolicy.PREDICTED_WAIT, lagMs, seed));
        SimulatedUpstream runner = simulation.runners().get(0);
        VirtualClock clock = simulation.clock();
        clock.at(FAULT_AT_MS, () -> runner.setFault(fault));
        if (fault == UpstreamFault.LEAVING) {
            clock.at(FAULT_AT_MS + LIST_LAG_MS, () -> simulation.list(List.of(runner)));
        }
        Watch watch = new Watch();
        clock.every(
                FAULT_AT_MS,
                PERIOD_MS,
                () -> {
                    boolean got = runner.lastOfferedMs() > watch.mSeen;
                    watch.mSeen = runner.lastOfferedMs();
                    double sinceMs = runner.lastOfferedMs() - FAULT_AT_MS;
                    if (got && sinceMs > BOUND_MS) {
                        watch.mProbes++;
                    } else if (got && sinceMs > 0) {
                        watch.mLastSteadyMs = sinceMs;
                    }
                });
        simulation.run();
        return watch;
    }
}
