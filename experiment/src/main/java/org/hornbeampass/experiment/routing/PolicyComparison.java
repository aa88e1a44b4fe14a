package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.routing.RoutingPolicy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/** Compares the routing policies on the same seeded demand and prints a table. */
public final class PolicyComparison {
    private static final long[] LAGS_MS = {100, 1_000, 5_000};
    private static final int SEEDS = 3;

    private PolicyComparison() {}

    /**
     * Runs all sites, lags and policies.
     *
     * @param args the load as a share of capacity without cached prefixes; 0.8 where none is given
     */
    public static void main(String[] args) {
        double load = args.length > 0 ? Double.parseDouble(args[0]) : 0.8;
        System.out.println(
                "| site | lag ms | policy | served | TTFT p50 | p95 | p99 | waiting jobs p95 |"
                        + " VM queue p95 | imbalance | prefix hits | failures |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
        List<Supplier<String>> rows = new ArrayList<>();
        for (Site site : Site.values()) {
            for (long lagMs : LAGS_MS) {
                for (RoutingPolicy policy : RoutingPolicy.values()) {
                    rows.add(() -> row(site, lagMs, policy, load));
                }
            }
        }
        rows.parallelStream().map(Supplier::get).forEachOrdered(System.out::println);
    }

    private static String row(Site site, long lagMs, RoutingPolicy policy, double load) {
        Measurements all = new Measurements();
        double imbalance = 0;
        double hits = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            RoutingSimulation simulation =
                    new RoutingSimulation(
                            SimulationSettings.of(site, policy, lagMs, seed).withLoad(load));
            Measurements one = simulation.run();
            all.mRequests += one.mRequests;
            all.mServed += one.mServed;
            all.mFirstTokenMs.add(one.mFirstTokenMs);
            all.mWaitingJobs.add(one.mWaitingJobs);
            all.mQueuedMs.add(one.mQueuedMs);
            one.mFailures.forEach((kind, n) -> all.mFailures.merge(kind, n, Integer::sum));
            imbalance += one.imbalance() / SEEDS;
            hits += Measurements.prefixHitShare(simulation.runners()) / SEEDS;
        }
        return String.format(
                Locale.ROOT,
                "| %s | %d | %s | %.4f | %d | %d | %d | %d | %d | %.3f | %.3f | %s |",
                site,
                lagMs,
                policy,
                all.servedShare(),
                all.mFirstTokenMs.getValueAtPercentile(50),
                all.mFirstTokenMs.getValueAtPercentile(95),
                all.mFirstTokenMs.getValueAtPercentile(99),
                all.mWaitingJobs.getValueAtPercentile(95),
                all.mQueuedMs.getValueAtPercentile(95),
                imbalance,
                hits,
                all.mFailures);
    }
}
