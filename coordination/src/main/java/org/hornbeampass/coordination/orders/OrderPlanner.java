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
 * Plans which upstreams load and unload what, a few steps at a time.
 *
 * <p>Invariants: an unload leaves as many ready copies as are wanted, at least one that is safe
 * from late orders of a deposed writer or two of which such an order can take only one; an upstream
 * whose order this writer has not claimed yet does not count; at most a bounded number of upstreams
 * load one artifact, and at most a bounded number load at all, since they share the weight store's
 * rate; one unload at most for each artifact in a plan. A plan is worked out from its arguments
 * alone. Immutable; thread-safe.
 */
public final class OrderPlanner {
    private final int mMaxLoadsPerArtifact;
    private final int mMaxLoads;

    /**
     * Creates a planner.
     *
     * @param maxLoadsPerArtifact how many upstreams load the same artifact at once
     * @param maxLoads how many upstreams load at once
     */
    public OrderPlanner(int maxLoadsPerArtifact, int maxLoads) {
        if (maxLoadsPerArtifact < 1 || maxLoads < 1) {
            throw new IllegalArgumentException("bounds on loads must be at least 1");
        }
        mMaxLoadsPerArtifact = maxLoadsPerArtifact;
        mMaxLoads = maxLoads;
    }

    /**
     * Plans the next steps.
     *
     * @param upstreams all upstreams that take orders
     * @param wanted how many copies of what are wanted; what is not named here is left as it is
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
        while (held(fleet, target) < want.copies()
                && loading(fleet, target) < mMaxLoadsPerArtifact
                && loadingAny(fleet, orders) < mMaxLoads) {
            Optional<OrderTarget> place = bestPlace(fleet, target);
            if (place.isEmpty()) {
                return;
            }
            IntendedState state = place.get().intended().with(target, want.version());
            replace(fleet, place.get().withIntended(state));
            orders.add(new PlannedOrder(place.get().id(), Action.LOAD, target, state));
        }
    }

    private static Optional<PlannedOrder> unload(
            List<OrderTarget> fleet, List<WantedCopies> wanted, WantedCopies want) {
        WorkTarget target = want.target();
        boolean surplus = held(fleet, target) > want.copies();
        if (!surplus) {
            return Optional.empty();
        }
        Optional<OrderTarget> victim =
                fleet.stream()
                        .filter(u -> u.usable() && u.intended().holds(target))
                        .filter(u -> enoughWithout(fleet, u, want))
                        .filter(u -> adaptersAllow(fleet, wanted, u, want))
                        .max(Comparator.comparingLong(u -> heldIn(fleet, target, u.domain())));
        return victim.map(
                u -> {
                    IntendedState state = u.intended().without(target);
                    replace(fleet, u.withIntended(state));
                    return new PlannedOrder(u.id(), Action.UNLOAD, target, state);
                });
    }

    private static boolean enoughWithout(
            List<OrderTarget> fleet, OrderTarget leaver, WantedCopies want) {
        int fenced = 0;
        int unfenced = 0;
        for (OrderTarget each : fleet) {
            if (!each.id().equals(leaver.id()) && each.serves(want.target())) {
                fenced += each.fencingStatus() == FencingStatus.FENCED ? 1 : 0;
                unfenced += each.fencingStatus() == FencingStatus.UNFENCED ? 1 : 0;
            }
        }
        return fenced + unfenced >= want.copies()
                && FencingStatus.survivesLateOrder(fenced, unfenced);
    }

    /** Returns whether the adapters that go with a model are held often enough elsewhere. */
    private static boolean adaptersAllow(
            List<OrderTarget> fleet,
            List<WantedCopies> wanted,
            OrderTarget leaver,
            WantedCopies want) {
        if (want.target().adapter().isPresent()) {
            return true;
        }
        return wanted.stream()
                .filter(w -> w.target().adapter().isPresent())
                .filter(w -> w.target().model().equals(want.target().model()))
                .filter(w -> leaver.intended().holds(w.target()))
                .allMatch(w -> enoughWithout(fleet, leaver, w));
    }

    private static Optional<OrderTarget> bestPlace(List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream()
                .filter(u -> u.hasRoomFor(target))
                .min(
                        Comparator.comparingLong(
                                        (OrderTarget u) -> heldIn(fleet, target, u.domain()))
                                .thenComparing(u -> u.intended().models().size())
                                .thenComparing(OrderTarget::id));
    }

    private static long held(List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream().filter(u -> u.usable() && u.intended().holds(target)).count();
    }

    private static long heldIn(List<OrderTarget> fleet, WorkTarget target, FailureDomain domain) {
        return fleet.stream()
                .filter(u -> u.domain().equals(domain) && u.intended().holds(target))
                .count();
    }

    private static long loading(List<OrderTarget> fleet, WorkTarget target) {
        return fleet.stream().filter(u -> u.loading(target)).count();
    }

    private static long loadingAny(List<OrderTarget> fleet, List<PlannedOrder> orders) {
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
