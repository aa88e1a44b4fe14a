package org.hornbeampass.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.upstream.LeavingEvidence;
import org.hornbeampass.state.upstream.ListedUpstream;
import org.hornbeampass.state.upstream.UpstreamList;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * Tests with random schedules of delayed and reordered reports and lists that an upstream whose
 * incarnation has ended gets no new work.
 */
class IncarnationProperties {
    private static final int RUNNERS = 4;
    private static final int EVENTS = 60;

    /** How events are delivered to the table; the mutants distort them. */
    private enum Delivery {
        CORRECT,
        /** As if the version of a list were not checked. */
        LIST_VERSION_IGNORED,
        /** As if a list that contains an upstream made it live again. */
        LISTED_UPSTREAM_REVIVED,
        /** As if an upstream's own report that it is leaving were lost. */
        LEAVING_REPORT_IGNORED
    }

    /** One schedule with a simple model of which incarnations have ended. */
    private static final class Schedule {
        private final SplittableRandom mRandom;
        private final Delivery mDelivery;
        private final UpstreamTable mTable =
                new UpstreamTable(UpstreamFixtures.placement(), RoutingSettings.defaults());
        private final UpstreamChooser mChooser =
                new UpstreamChooser(mTable, RoutingPolicy.RANDOM, 1);
        private final long[] mSeen = new long[RUNNERS];
        private final long[] mEnded = new long[RUNNERS];
        private final boolean[] mListed = new boolean[RUNNERS];
        private long mNewestList;
        private long mDelivered;

        private Schedule(long seed, Delivery delivery) {
            mRandom = new SplittableRandom(seed);
            mDelivery = delivery;
            Arrays.fill(mEnded, -1);
            mTable.applyConfig(0, UpstreamFixtures.config(1, RUNNERS, 1_000));
        }

        private Optional<String> run() {
            for (int now = 1; now <= EVENTS; now++) {
                event(now);
                for (int i = 0; i < 8; i++) {
                    var choice = mChooser.choose(now, UpstreamFixtures.query());
                    if (choice.isRight()) {
                        int n = number(choice.get());
                        if (mSeen[n] <= mEnded[n]) {
                            return Optional.of("runner " + n + " got work at " + now);
                        }
                    }
                }
            }
            return Optional.empty();
        }

        private void event(long nowMs) {
            int runner = mRandom.nextInt(RUNNERS);
            long incarnation = Math.max(0, mSeen[runner] + mRandom.nextInt(3) - 1);
            switch (mRandom.nextInt(5)) {
                case 0 -> {
                    mTable.onLoadReport(
                            nowMs,
                            UpstreamFixtures.runner(runner),
                            UpstreamFixtures.report(nowMs, incarnation, 0));
                    see(runner, incarnation);
                }
                case 1 -> leavingReport(nowMs, runner, incarnation);
                case 2 -> {
                    mTable.onLeaving(
                            nowMs,
                            UpstreamFixtures.runner(runner),
                            LeavingEvidence.OWN_OBSERVATION,
                            incarnation);
                    end(runner, incarnation);
                }
                default -> list(nowMs);
            }
        }

        private void leavingReport(long nowMs, int runner, long incarnation) {
            if (mDelivery != Delivery.LEAVING_REPORT_IGNORED) {
                mTable.onLoadReport(
                        nowMs,
                        UpstreamFixtures.runner(runner),
                        UpstreamFixtures.leaving(nowMs, incarnation));
            }
            end(runner, incarnation);
        }

        private void list(long nowMs) {
            long version = Math.max(1, mNewestList + mRandom.nextInt(4) - 2);
            boolean fresh = version > mNewestList;
            List<ListedUpstream> lines = new ArrayList<>();
            for (int i = 0; i < RUNNERS; i++) {
                if (mRandom.nextInt(4) > 0) {
                    long incarnation = Math.max(0, mSeen[i] + mRandom.nextInt(3) - 1);
                    boolean leaving = mRandom.nextInt(4) == 0;
                    lines.add(new ListedUpstream(UpstreamFixtures.runner(i), incarnation, leaving));
                    if (fresh) {
                        listed(i, incarnation, leaving);
                    }
                }
            }
            deliver(nowMs, version, lines);
            mNewestList = Math.max(mNewestList, version);
        }

        private void listed(int runner, long incarnation, boolean leaving) {
            mListed[runner] = true;
            see(runner, incarnation);
            if (leaving) {
                end(runner, incarnation);
            }
        }

        private void deliver(long nowMs, long version, List<ListedUpstream> lines) {
            mDelivered++;
            if (mDelivery == Delivery.LISTED_UPSTREAM_REVIVED) {
                for (ListedUpstream each : lines) {
                    mTable.onLoadReport(
                            nowMs, each.id(), UpstreamFixtures.report(nowMs, 1_000 + nowMs, 0));
                }
            }
            boolean distorted = mDelivery == Delivery.LIST_VERSION_IGNORED;
            mTable.onListed(nowMs, new UpstreamList(distorted ? mDelivered : version, lines));
        }

        private void see(int runner, long incarnation) {
            mSeen[runner] = Math.max(mSeen[runner], incarnation);
        }

        private void end(int runner, long incarnation) {
            see(runner, incarnation);
            mEnded[runner] = Math.max(mEnded[runner], incarnation);
        }

        private static int number(UpstreamChoice choice) {
            return Integer.parseInt(choice.upstream().value().substring("runner-".length()));
        }
    }

    @Property(seed = "11", tries = 300)
    void endedIncarnation_neverGetsWork(@ForAll long seed) {
        assertThat(new Schedule(seed, Delivery.CORRECT).run()).isEmpty();
    }

    @Test
    void mutants_areDetected() {
        for (Delivery mutant : Delivery.values()) {
            boolean detected =
                    LongStream.range(0, 300)
                            .anyMatch(seed -> new Schedule(seed, mutant).run().isPresent());
            assertThat(detected).as(mutant.name()).isEqualTo(mutant != Delivery.CORRECT);
        }
    }
}
