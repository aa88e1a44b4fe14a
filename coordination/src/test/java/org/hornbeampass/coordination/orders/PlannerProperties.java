package org.hornbeampass.coordination.orders;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * Checks over random schedules that {@link OrderPlanner} never gives up the last ready copy of a
 * model and bounds concurrent loads.
 *
 * <p>Demand changes at each step, loads take several steps, and a deposed writer may still send one
 * late order to an upstream that does not check fencing numbers.
 */
class PlannerProperties {
    private static final int UPSTREAMS = 6;
    private static final int STEPS = 40;
    private static final int MAX_PER_ARTIFACT = 2;
    private static final List<ModelId> MODELS = List.of(new ModelId("a"), new ModelId("b"));

    /** A fault injected into the planner or its input, which the check must detect. */
    private enum Mutant {
        NONE,
        /** Reports every upstream as checking fencing numbers. */
        TREATS_ALL_AS_FENCED,
        /** Reports copies as ready while they load. */
        TREATS_LOADING_AS_READY,
        /** Does not bound the number of loads. */
        LOADS_ALL_AT_ONCE
    }

    /** One random schedule for a few upstreams. */
    private static final class Schedule {
        private final SplittableRandom mRandom;
        private final Mutant mMutant;
        private final OrderPlanner mPlanner;
        private final List<OrderTarget> mFleet = new ArrayList<>();

        private Schedule(long seed, Mutant mutant) {
            mRandom = new SplittableRandom(seed);
            mMutant = mutant;
            int bound = mutant == Mutant.LOADS_ALL_AT_ONCE ? 99 : MAX_PER_ARTIFACT;
            mPlanner = new OrderPlanner(bound, 99);
            FencingStatus[] guards = FencingStatus.values();
            for (int i = 0; i < UPSTREAMS; i++) {
                mFleet.add(
                        new OrderTarget(
                                new UpstreamId("u" + i),
                                new FailureDomain("d" + i % 3),
                                guards[mRandom.nextInt(guards.length)],
                                2,
                                true,
                                IntendedState.empty(),
                                Set.of(),
                                Set.of()));
            }
        }

        private Optional<String> run() {
            for (int step = 0; step < STEPS; step++) {
                List<WantedCopies> wanted = new ArrayList<>();
                for (ModelId model : MODELS) {
                    int copies = 1 + mRandom.nextInt(4);
                    wanted.add(new WantedCopies(WorkTarget.model(model), "1", copies));
                }
                for (PlannedOrder order : mPlanner.plan(plannerInput(), wanted)) {
                    apply(order);
                    if (order.action() == PlannedOrder.Action.UNLOAD
                            && isLastCopyLost(order.target())) {
                        return Optional.of("step " + step + ": last copy given up by " + order);
                    }
                }
                for (WantedCopies want : wanted) {
                    long loading = mFleet.stream().filter(u -> u.loading(want.target())).count();
                    if (loading > MAX_PER_ARTIFACT) {
                        return Optional.of("step " + step + ": " + loading + " loads at once");
                    }
                }
                finishRandomLoads();
            }
            return Optional.empty();
        }

        /** Returns whether one late order could leave no ready copy of a model. */
        private boolean isLastCopyLost(WorkTarget target) {
            long fenced = ready(target, FencingStatus.FENCED);
            long unfenced = ready(target, FencingStatus.UNFENCED);
            return fenced == 0 && unfenced <= 1;
        }

        private long ready(WorkTarget target, FencingStatus guard) {
            return mFleet.stream()
                    .filter(u -> u.fencingStatus() == guard && u.serves(target))
                    .count();
        }

        private void apply(PlannedOrder order) {
            mFleet.replaceAll(
                    u -> u.id().equals(order.upstream()) ? u.withIntended(order.state()) : u);
        }

        private void finishRandomLoads() {
            mFleet.replaceAll(
                    u ->
                            mRandom.nextInt(3) == 0
                                    ? with(u, u.fencingStatus(), u.intended().models().keySet())
                                    : u);
        }

        private List<OrderTarget> plannerInput() {
            return mFleet.stream().map(this::plannerInput).toList();
        }

        private OrderTarget plannerInput(OrderTarget target) {
            FencingStatus guard =
                    mMutant == Mutant.TREATS_ALL_AS_FENCED
                            ? FencingStatus.FENCED
                            : target.fencingStatus();
            Set<ModelId> ready =
                    mMutant == Mutant.TREATS_LOADING_AS_READY
                            ? target.intended().models().keySet()
                            : target.readyModels();
            return with(target, guard, ready);
        }

        private static OrderTarget with(
                OrderTarget target, FencingStatus guard, Set<ModelId> ready) {
            return new OrderTarget(
                    target.id(),
                    target.domain(),
                    guard,
                    target.maxModels(),
                    target.usable(),
                    target.intended(),
                    ready,
                    Set.of());
        }
    }

    @Property(seed = "14", tries = 300)
    void lastReadyCopyIsKept_andLoadsAreBounded(@ForAll long seed) {
        assertThat(new Schedule(seed, Mutant.NONE).run()).isEmpty();
    }

    @Test
    void mutants_areDetected() {
        for (Mutant mutant : Mutant.values()) {
            boolean caught =
                    LongStream.range(0, 200)
                            .anyMatch(seed -> new Schedule(seed, mutant).run().isPresent());
            assertThat(caught).as(mutant.name()).isEqualTo(mutant != Mutant.NONE);
        }
    }
}
