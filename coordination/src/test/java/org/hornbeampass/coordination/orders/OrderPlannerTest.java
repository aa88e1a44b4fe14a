package org.hornbeampass.coordination.orders;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.orders.PlannedOrder.Action;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Tests the orders that {@link OrderPlanner} plans, and the steps of {@link OrderSteps}. */
class OrderPlannerTest {
    private static final ModelId MODEL = new ModelId("m");
    private static final WorkTarget TARGET = WorkTarget.model(MODEL);

    private final OrderPlanner mPlanner = new OrderPlanner(2, 4);

    @Test
    void missingCopies_areLoadedWithinTheBoundPerArtifact() {
        List<OrderTarget> fleet =
                IntStream.range(0, 6).mapToObj(i -> idle(i, FencingStatus.FENCED)).toList();

        List<PlannedOrder> orders = mPlanner.plan(fleet, want(5));

        assertThat(orders).hasSize(2).allMatch(o -> o.action() == Action.LOAD);
    }

    @Test
    void newCopy_isPlacedInAnotherFailureDomain() {
        List<OrderTarget> fleet =
                List.of(
                        holding(0, FencingStatus.FENCED),
                        idle(3, FencingStatus.FENCED),
                        idle(1, FencingStatus.FENCED));

        assertThat(mPlanner.plan(fleet, want(2)).get(0).upstream()).isEqualTo(id(1));
    }

    @Test
    void surplusCopies_areUnloadedOneAtATime() {
        List<OrderTarget> fleet =
                IntStream.range(0, 4).mapToObj(i -> holding(i, FencingStatus.FENCED)).toList();

        List<PlannedOrder> orders = mPlanner.plan(fleet, want(2));

        assertThat(orders).hasSize(1);
        assertThat(orders.get(0).action()).isEqualTo(Action.UNLOAD);
        assertThat(orders.get(0).state().models()).isEmpty();
    }

    @Test
    void copyIsKept_whileItsReplacementLoads() {
        List<OrderTarget> fleet =
                List.of(holding(0, FencingStatus.FENCED), loading(1, FencingStatus.FENCED));

        assertThat(mPlanner.plan(fleet, want(1))).noneMatch(o -> o.upstream().equals(id(0)));
    }

    @Test
    void copyIsKept_whileOtherCopiesAreUnclaimed() {
        List<OrderTarget> fleet =
                List.of(holding(0, FencingStatus.FENCED), holding(1, FencingStatus.UNCLAIMED));

        assertThat(mPlanner.plan(fleet, want(1)))
                .allMatch(o -> o.upstream().equals(id(1)))
                .hasSize(1);
    }

    @Test
    void unloadFromUnfencedUpstreams_leavesTwoCopies() {
        List<OrderTarget> two =
                List.of(holding(0, FencingStatus.UNFENCED), holding(1, FencingStatus.UNFENCED));
        List<OrderTarget> three =
                IntStream.range(0, 3).mapToObj(i -> holding(i, FencingStatus.UNFENCED)).toList();

        assertThat(mPlanner.plan(two, want(1))).isEmpty();
        assertThat(mPlanner.plan(three, want(1))).hasSize(1);
    }

    @Test
    void modelIsKept_whileItsAdapterHasNoOtherCopy() {
        WorkTarget adapter = WorkTarget.adapter(MODEL, "a");
        OrderTarget withAdapter =
                new OrderTarget(
                        id(0),
                        new FailureDomain("d0"),
                        FencingStatus.FENCED,
                        1,
                        true,
                        IntendedState.empty().with(adapter, "1"),
                        Set.of(MODEL),
                        Set.of("a"));
        List<OrderTarget> fleet = List.of(withAdapter, holding(1, FencingStatus.FENCED));
        List<WantedCopies> wanted =
                List.of(new WantedCopies(TARGET, "1", 1), new WantedCopies(adapter, "1", 1));

        assertThat(mPlanner.plan(fleet, wanted))
                .noneMatch(o -> o.upstream().equals(id(0)) && o.action() == Action.UNLOAD);
    }

    @Test
    void unusableUpstream_doesNotCountAsCopy() {
        OrderTarget unusable =
                new OrderTarget(
                        id(1),
                        new FailureDomain("d1"),
                        FencingStatus.FENCED,
                        1,
                        false,
                        IntendedState.empty().with(TARGET, "1"),
                        Set.of(MODEL),
                        Set.of());
        List<OrderTarget> fleet = List.of(holding(0, FencingStatus.FENCED), unusable);

        assertThat(mPlanner.plan(fleet, want(1))).isEmpty();
    }

    @Test
    void steps_loadBeforeTheyUnload() {
        IntendedState held = IntendedState.empty().with(TARGET, "1");
        IntendedState wanted = IntendedState.empty().with(WorkTarget.model(new ModelId("n")), "2");

        assertThat(OrderSteps.between(held, wanted))
                .containsExactly(
                        new OrderSteps.LoadModel(new ModelId("n"), "2"),
                        new OrderSteps.UnloadModel(MODEL));
        assertThat(OrderSteps.between(held, held)).isEmpty();
    }

    private static List<WantedCopies> want(int copies) {
        return List.of(new WantedCopies(TARGET, "1", copies));
    }

    private static UpstreamId id(int n) {
        return new UpstreamId("u" + n);
    }

    private static OrderTarget idle(int n, FencingStatus guard) {
        return target(n, guard, IntendedState.empty(), Set.of());
    }

    private static OrderTarget holding(int n, FencingStatus guard) {
        return target(n, guard, IntendedState.empty().with(TARGET, "1"), Set.of(MODEL));
    }

    private static OrderTarget loading(int n, FencingStatus guard) {
        return target(n, guard, IntendedState.empty().with(TARGET, "1"), Set.of());
    }

    private static OrderTarget target(
            int n, FencingStatus guard, IntendedState intended, Set<ModelId> ready) {
        return new OrderTarget(
                id(n), new FailureDomain("d" + n % 3), guard, 1, true, intended, ready, Set.of());
    }
}
