package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.experiment.routing.SimulationSettings.RetryMode;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Measures what a third of failing upstreams does to requests and attempts, with and without a
 * bound on retries, and prints a table.
 */
public final class FaultComparison {
    private static final double FAULT_AT_MS = 10_000;
    private static final long LAG_MS = 1_000;
    private static final int SEEDS = 2;
    private static final UpstreamFault[] FAULTS = {
        UpstreamFault.ERRORS, UpstreamFault.DEAD, UpstreamFault.UNREACHABLE, UpstreamFault.FROZEN
    };

    private FaultComparison() {}

    /**
     * Runs all faults and bounds.
     *
     * @param args the load as a share of capacity without cached prefixes; 0.8 where none is given
     */
    public static void main(String[] args) {
        double load = args.length > 0 ? Double.parseDouble(args[0]) : 0.8;
        System.out.println(
                "| site | fault of a third | retries | served | attempts per first | TTFT p95 | p99"
                        + " | failures |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        List<Supplier<String>> rows = new ArrayList<>();
        for (Site site : Site.values()) {
            for (UpstreamFault fault : FAULTS) {
                for (RetryMode mode : RetryMode.values()) {
                    rows.add(() -> row(site, fault, mode, load));
                }
            }
        }
        rows.parallelStream().map(Supplier::get).forEachOrdered(System.out::println);
    }

    private static String row(Site site, UpstreamFault fault, RetryMode mode, double load) {
        Measurements all = new Measurements();
        for (int seed = 1; seed <= SEEDS; seed++) {
            RoutingSimulation simulation =
                    new RoutingSimulation(
                            SimulationSettings.of(site, RoutingPolicy.PREDICTED_WAIT, LAG_MS, seed)
                                    .withLoad(load)
                                    .withRetries(mode));
            simulation
                    .clock()
                    .at(
                            FAULT_AT_MS,
                            () -> {
                                for (int i = 0; i < site.runners(); i += Site.DOMAINS) {
                                    simulation.runners().get(i).setFault(fault);
                                }
                            });
            Measurements one = simulation.run();
            all.mRequests += one.mRequests;
            all.mServed += one.mServed;
            all.mAttempts += one.mAttempts;
            all.mFirstAttempts += one.mFirstAttempts;
            all.mFirstTokenMs.add(one.mFirstTokenMs);
            one.mFailures.forEach((kind, n) -> all.mFailures.merge(kind, n, Integer::sum));
        }
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.4f | %.4f | %d | %d | %s |",
                site,
                fault,
                mode,
                all.servedShare(),
                all.amplification(),
                all.mFirstTokenMs.getValueAtPercentile(95),
                all.mFirstTokenMs.getValueAtPercentile(99),
                all.mFailures);
    }
}
