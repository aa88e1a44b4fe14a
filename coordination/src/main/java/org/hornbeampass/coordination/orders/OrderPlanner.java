package org.hornbeampass.coordination.orders;

import org.hornbeampass.coordination.orders.PlannedOrder.Action;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans which upstreams load and unload which models and adapters, a few changes at a time.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An unload leaves as many ready copies as are wanted. At least one of them is protected from
 *       late orders of a deposed writer, or at least two are not protected, since one late order
 *       can unload only one of them.
 *   <li>A copy at an upstream whose order this writer has not claimed yet does not count towards
 *       the copies that an unload must leave.
 *   <li>The number of upstreams that load the same artifact, and the number that load anything, are
 *       bounded, since all loads share the bandwidth of the weight store.
 *   <li>A plan has at most one unload for each artifact.
 * </ul>
 *
 * <p>A plan depends on its arguments only. Immutable; thread-safe.
 */
public final class OrderPlanner {
    private final int mMaxLoadsPerArtifact;
    private final int mMaxLoads;

    /**
     * Creates a planner.
     *
     * @param maxLoadsPerArtifact how many upstreams may load the same artifact at once
     * @param maxLoads how many upstreams may load at once
     */
    public OrderPlanner(int maxLoadsPerArtifact, int maxLoads) {
        if (maxLoadsPerArtifact < 1 || maxLoads < 1) {
            throw new IllegalArgumentException("bounds on loads must be at least 1");
        }
        mMaxLoadsPerArtifact = maxLoadsPerArtifact;
        mMaxLoads = maxLoads;
    }

    /**
     * Returns the next changes, loads before unloads.
     *
     * @param upstreams all upstreams that accept orders
     * @param wanted the wanted number of copies of each model and adapter; those not listed are
     *     left unchanged
     */
    public List<PlannedOrder> plan(List<OrderTarget> upstreams, List<WantedCopies> wanted) {
        List<OrderTarget> fleet = new ArrayList<>(upstreams);
        fleet.sort(Comparator.comparing(OrderTarget::id));
        List<PlannedOrder> orders = new ArrayList<>();
        for (WantedCopies each : wanted) {
            load(fleet, each, orders);
        }
        for (WantedCopies each : wanted) {
            unload(fleet, wanted, each).ifPresent(orders::add);
        }
        return orders;
    }

    private void load(List<OrderTarget> fleet, WantedCopies want, List<PlannedOrder> orders) {
        WorkTarget target = want.target();
        while (countHeld(fleet, target) < want.copies()
                && countLoading(fleet, target) < mMaxLoadsPerArtifact
                && countLoadingAnything(fleet, orders) < mMaxLoads) {
            Optional<OrderTarget> chosen = chooseUpstream(fleet, target);
            if (chosen.isEmpty()) {
                return;
            }
            IntendedState state = chosen.get().intended().with(target, want.version());
            replace(fleet, chosen.get().withIntended(state));
            orders.add(new PlannedOrder(chosen.get().id(), Action.LOAD, target, state));
        }
    }

    private static Optional<PlannedOrder> unload(
            List<OrderTarget> fleet, List<WantedCopies> wanted, WantedCopies want) {
        WorkTarget target = want.target();
        boolean surplus = countHeld(fleet, target) > want.copies();
        if (!surplus) {
            return Optional.empty();
        }
        Optional<OrderTarget> candidate =
                fleet.stream()
                        .filter(u -> u.usable() && u.intended().holds(target))
                        .filter(u -> hasEnoughCopiesWithout(fleet, u, want))
                        .filter(u -> hasEnoughAdapterCopiesWithout(fleet, wanted, u, want))
                        .max(
                                Comparator.comparingLong(
                                        u -> countHeldInDomain(fleet, target, u.domain())));
        return candidate.map(
                u -> {
                    IntendedState state = u.intended().without(target);
                    replace(fleet, u.withIntended(state));
                    return new PlannedOrder(u.id(), Action.UNLOAD, target, state);
                });
    }

    private static boolean hasEnoughCopiesWithout(
            List<OrderTarget> fleet, OrderTarget excluded, WantedCopies want) {
        int fenced = 0;
        int unfenced = 0;
        for (OrderTarget each : fleet) {
            if (!each.id().equals(excluded.id()) && each.serves(want.target())) {
                fenced += each.fencingStatus() == FencingStatus.FENCED ? 1 : 0;
                unfenced += each.fencingStatus() == FencingStatus.UNFENCED ? 1 : 0;
            }
        }
        return fenced + unfenced >= want.copies()
                && FencingStatus.survivesLateOrder(fenced, unfenced);
    }

    /**
     * Returns whether the other upstreams have enough copies of each adapter that would be unloaded
     * together with its model.
     */
    private static boolean hasEnoughAdapterCopiesWithout(
            List<OrderTarget> fleet,
            List<WantedCopies> wanted,
            OrderTarget excluded,
            WantedCopies want) {
        if (want.target().adapter().isPresent()) {
            return true;
        }
        return wanted.stream()
                .filter(w -> w.target().adapter().isPresent())
                .filter(w -> w.target().model().equals(want.target().model()))
                .filter(w -> excluded.intended().holds(w.target()))
                .allMatch(w -> hasEnoughCopiesWithout(fleet, excluded, w));
    }

    private static Optional<OrderTarget> chooseUpstream(
            List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream()
                .filter(u -> u.hasRoomFor(target))
                .min(
                        Comparator.comparingLong(
                                        (OrderTarget u) ->
                                                countHeldInDomain(fleet, target, u.domain()))
                                .thenComparing(u -> u.intended().models().size())
                                .thenComparing(OrderTarget::id));
    }

    private static long countHeld(List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream().filter(u -> u.usable() && u.intended().holds(target)).count();
    }

    private static long countHeldInDomain(
            List<OrderTarget> fleet, WorkTarget target, FailureDomain domain) {
        return fleet.stream()
                .filter(u -> u.domain().equals(domain) && u.intended().holds(target))
                .count();
    }

    private static long countLoading(List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream().filter(u -> u.loading(target)).count();
    }

    private static long countLoadingAnything(List<OrderTarget> fleet, List<PlannedOrder> orders) {
        long before =
                fleet.stream()
                        .filter(OrderTarget::usable)
                        .filter(u -> !u.readyModels().containsAll(u.intended().models().keySet()))
                        .filter(u -> orders.stream().noneMatch(o -> o.upstream().equals(u.id())))
                        .count();
        return before + orders.size();
    }

    private static void replace(List<OrderTarget> fleet, OrderTarget changed) {
        fleet.replaceAll(u -> u.id().equals(changed.id()) ? changed : u);
    }
}
