package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.orders.FencingStatus;
import org.hornbeampass.coordination.orders.OrderPlanner;
import org.hornbeampass.coordination.orders.OrderTarget;
import org.hornbeampass.coordination.orders.PlannedOrder;
import org.hornbeampass.coordination.orders.WantedCopies;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Measures how long copies take to become ready where all loads share the weight store's rate, with
 * and without a bound on loads at once, and prints a table.
 *
 * <p>Virtual time, in steps of 100 ms; the store's rate is shared equally among the loads under
 * way.
 */
public final class OrdersComparison {
    private static final double ARTIFACT_GB = 16;
    private static final double STORE_GB_PER_S = 2;
    private static final double STEP_S = 0.1;
    private static final double PLAN_EVERY_S = 1;
    private static final double END_S = 600;
    private static final int UNBOUNDED = 1_000;

    private OrdersComparison() {}

    /** What one run gave. */
    private record Outcome(double firstS, double meanS, double lastS, int mostAtOnce) {}

    /** Runs all bounds; takes no arguments. */
    public static void main(String[] args) {
        System.out.println(
                "| copies | artifacts | loads per artifact | loads | first ready s | mean s |"
                        + " last s | most loads at once |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        for (int artifacts : new int[] {1, 2}) {
            for (int copies : new int[] {3, 6}) {
                print(artifacts, copies, UNBOUNDED, UNBOUNDED);
                print(artifacts, copies, 2, UNBOUNDED);
                print(artifacts, copies, 1, UNBOUNDED);
                print(artifacts, copies, 2, 2);
            }
        }
    }

    private static void print(int artifacts, int copies, int perArtifact, int loads) {
        Outcome outcome = run(artifacts, copies, new OrderPlanner(perArtifact, loads));
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %s | %s | %.1f | %.1f | %.1f | %d |%n",
                copies,
                artifacts,
                bound(perArtifact),
                bound(loads),
                outcome.firstS(),
                outcome.meanS(),
                outcome.lastS(),
                outcome.mostAtOnce());
    }

    private static String bound(int value) {
        return value == UNBOUNDED ? "no bound" : Integer.toString(value);
    }

    private static Outcome run(int artifacts, int copies, OrderPlanner planner) {
        List<OrderTarget> fleet = new ArrayList<>();
        List<WantedCopies> wanted = new ArrayList<>();
        for (int i = 0; i < artifacts; i++) {
            ModelId model = new ModelId("model-" + i);
            wanted.add(new WantedCopies(WorkTarget.model(model), "1", copies));
        }
        for (int i = 0; i < artifacts * copies; i++) {
            fleet.add(target(i, IntendedState.empty(), Set.of()));
        }
        Map<UpstreamId, Double> leftGb = new HashMap<>();
        List<Double> readyS = new ArrayList<>();
        int most = 0;
        double nextPlanS = 0;
        for (double now = 0; now < END_S; now += STEP_S) {
            if (now >= nextPlanS) {
                nextPlanS = now + PLAN_EVERY_S;
                for (PlannedOrder order : planner.plan(fleet, wanted)) {
                    leftGb.put(order.upstream(), ARTIFACT_GB);
                    fleet.replaceAll(
                            u ->
                                    u.id().equals(order.upstream())
                                            ? u.withIntended(order.state())
                                            : u);
                }
            }
            most = Math.max(most, leftGb.size());
            double share = STORE_GB_PER_S * STEP_S / Math.max(1, leftGb.size());
            leftGb.replaceAll((id, gb) -> gb - share);
            for (UpstreamId done :
                    leftGb.keySet().stream().filter(id -> leftGb.get(id) <= 1e-9).toList()) {
                leftGb.remove(done);
                readyS.add(now + STEP_S);
                fleet.replaceAll(u -> u.id().equals(done) ? ready(u) : u);
            }
        }
        double mean = readyS.stream().mapToDouble(s -> s).average().orElse(END_S);
        return new Outcome(readyS.get(0), mean, readyS.get(readyS.size() - 1), most);
    }

    private static OrderTarget ready(OrderTarget target) {
        return new OrderTarget(
                target.id(),
                target.domain(),
                target.fencingStatus(),
                target.maxModels(),
                true,
                target.intended(),
                target.intended().models().keySet(),
                Set.of());
    }

    private static OrderTarget target(int number, IntendedState state, Set<ModelId> ready) {
        return new OrderTarget(
                new UpstreamId("u" + number),
                new FailureDomain("d" + number % Site.DOMAINS),
                FencingStatus.FENCED,
                1,
                true,
                state,
                ready,
                Set.of());
    }
}
