package org.hornbeampass.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.LeavingEvidence;
import org.hornbeampass.state.upstream.ListedUpstream;
import org.hornbeampass.state.upstream.LoadReport;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.UpstreamList;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Tests {@link UpstreamChooser} with {@link UpstreamTable}. */
class UpstreamChooserTest {
    private final UpstreamTable mTable =
            new UpstreamTable(UpstreamFixtures.placement(), RoutingSettings.defaults());
    private final UpstreamChooser mChooser =
            new UpstreamChooser(mTable, RoutingPolicy.PREDICTED_WAIT, 1);

    @Test
    void choose_withoutAnyUpstream_isNoUpstream() {
        assertThat(kind(mChooser.choose(0, UpstreamFixtures.query())))
                .isEqualTo(ErrorKind.NO_UPSTREAM);
    }

    @Test
    void choose_afterDeadline_isNotRun() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 4));
        RoutingQuery late =
                new RoutingQuery(
                        WorkTarget.model(UpstreamFixtures.MODEL),
                        new OrganisationId("o"),
                        5,
                        PrefixDigests.none(),
                        Set.of(),
                        new Deadline(10));

        assertThat(kind(mChooser.choose(10, late))).isEqualTo(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN);
    }

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void choose_atAllLimits_isOverloaded(RoutingPolicy policy) {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 4));
        UpstreamChooser chooser = new UpstreamChooser(mTable, policy, 1);
        for (int i = 0; i < 12; i++) {
            assertThat(chooser.choose(0, UpstreamFixtures.query()).isRight()).isTrue();
        }

        assertThat(kind(chooser.choose(0, UpstreamFixtures.query())))
                .isEqualTo(ErrorKind.OVERLOADED);
    }

    @Test
    void onEnded_twice_freesOnePlaceOnly() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 1, 2));
        UpstreamChoice first = mChooser.choose(0, UpstreamFixtures.query()).get();
        mChooser.choose(0, UpstreamFixtures.query());
        mChooser.onEnded(1, first, AttemptOutcome.SUCCEEDED);
        mChooser.onEnded(1, first, AttemptOutcome.SUCCEEDED);

        assertThat(mChooser.choose(2, UpstreamFixtures.query()).isRight()).isTrue();
        assertThat(kind(mChooser.choose(2, UpstreamFixtures.query())))
                .isEqualTo(ErrorKind.OVERLOADED);
    }

    @Test
    void choose_prefersOwnFailureDomainWhenIdle() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 4));

        assertThat(next(0)).isEqualTo(UpstreamFixtures.runner(0));
    }

    @Test
    void choose_spreadsOverAllWhenBusy() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 100));
        Set<UpstreamId> used = new HashSet<>();
        IntStream.range(0, 30).forEach(i -> used.add(next(0)));

        assertThat(used).hasSize(3);
    }

    @Test
    void choose_skipsExcluded() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 2, 4));
        RoutingQuery retry = UpstreamFixtures.query().excluding(UpstreamFixtures.runner(0));

        assertThat(mChooser.choose(0, retry).get().upstream())
                .isEqualTo(UpstreamFixtures.runner(1));
        assertThat(kind(mChooser.choose(0, retry.excluding(UpstreamFixtures.runner(1)))))
                .isEqualTo(ErrorKind.NO_UPSTREAM);
    }

    @Test
    void leavingUpstream_byAnyEvidence_getsNoNewWork() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 4, 100));
        mTable.onLeaving(1, UpstreamFixtures.runner(0), LeavingEvidence.OWN_OBSERVATION, 0);
        mTable.onLoadReport(1, UpstreamFixtures.runner(1), UpstreamFixtures.leaving(1, 7));
        mTable.onListed(
                1,
                new UpstreamList(
                        5,
                        List.of(
                                new ListedUpstream(UpstreamFixtures.runner(2), 3, true),
                                new ListedUpstream(UpstreamFixtures.runner(3), 3, false))));

        for (int i = 0; i < 50; i++) {
            assertThat(next(2)).isEqualTo(UpstreamFixtures.runner(3));
        }
    }

    @Test
    void olderList_neverMakesUpstreamLiveAgain() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 2, 100));
        mTable.onLoadReport(1, UpstreamFixtures.runner(0), UpstreamFixtures.leaving(1, 7));
        List<ListedUpstream> live =
                List.of(
                        new ListedUpstream(UpstreamFixtures.runner(0), 7, false),
                        new ListedUpstream(UpstreamFixtures.runner(1), 7, false));
        mTable.onListed(2, new UpstreamList(5, live));
        mTable.onListed(3, new UpstreamList(4, List.of()));

        assertThat(IntStream.range(0, 20).mapToObj(i -> next(4)).distinct())
                .containsExactly(UpstreamFixtures.runner(1));
    }

    @Test
    void restartedUpstream_getsWorkAgain() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 1, 100));
        mTable.onLoadReport(1, UpstreamFixtures.runner(0), UpstreamFixtures.leaving(1, 7));
        assertThat(mChooser.choose(2, UpstreamFixtures.query()).isLeft()).isTrue();

        mTable.onLoadReport(3, UpstreamFixtures.runner(0), UpstreamFixtures.report(3, 8, 0));

        assertThat(next(4)).isEqualTo(UpstreamFixtures.runner(0));
    }

    @Test
    void choose_forModel_usesUpstreamWhereItIsReady() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 2, 100));
        LoadReport other =
                new LoadReport(1, 0, 0, 0, 0, false, Set.of(new ModelId("x")), Set.of("a"));
        mTable.onLoadReport(1, UpstreamFixtures.runner(0), other);

        assertThat(next(2)).isEqualTo(UpstreamFixtures.runner(1));
        RoutingQuery adapter =
                UpstreamFixtures.query(
                        WorkTarget.adapter(new ModelId("x"), "a"), PrefixDigests.none());
        assertThat(mChooser.choose(2, adapter).get().upstream())
                .isEqualTo(UpstreamFixtures.runner(0));
    }

    @Test
    void choose_keepsPrefixTogetherUntilLoaded() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 1_000));
        PrefixDigests prefix = PrefixDigests.of(1, 2, 3, 4, 5, 6);
        RoutingQuery query =
                UpstreamFixtures.query(WorkTarget.model(UpstreamFixtures.MODEL), prefix);
        UpstreamId holder = serve(0, query);
        for (int i = 1; i < 20; i++) {
            assertThat(serve(i * 100L, query)).isEqualTo(holder);
        }

        Set<UpstreamId> used = new HashSet<>();
        IntStream.range(0, 40)
                .forEach(i -> used.add(mChooser.choose(3_000, query).get().upstream()));
        assertThat(used).hasSizeGreaterThan(1);
    }

    @Test
    void frozenUpstream_isLeftOutOnceItMakesNoProgress() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 3, 1_000));
        for (int i = 0; i < 300; i++) {
            UpstreamChoice choice = mChooser.choose(i * 20L, UpstreamFixtures.query()).get();
            if (!choice.upstream().equals(UpstreamFixtures.runner(0))) {
                mChooser.onFirstToken(i * 20L + 15, choice);
                mChooser.onEnded(i * 20L + 15, choice, AttemptOutcome.SUCCEEDED);
            } else {
                assertThat(i * 20L).isLessThan(3_000);
            }
        }
    }

    @Test
    void unreachableUpstream_isEjectedAndProbedOneRequestAtATime() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 4, 1_000));
        fail(0, UpstreamFixtures.runner(0), AttemptOutcome.CONNECT_FAILED);
        fail(1, UpstreamFixtures.runner(0), AttemptOutcome.CONNECT_FAILED);
        IntStream.range(0, 50)
                .forEach(i -> assertThat(next(2)).isNotEqualTo(UpstreamFixtures.runner(0)));

        long probes =
                IntStream.range(0, 50)
                        .filter(i -> next(2_500).equals(UpstreamFixtures.runner(0)))
                        .count();
        assertThat(probes).isLessThanOrEqualTo(1);
    }

    @Test
    void ejection_leavesAtLeastHalfOfTheGroup() {
        mTable.applyConfig(0, UpstreamFixtures.config(1, 4, 1_000));
        for (int runner = 0; runner < 4; runner++) {
            for (int i = 0; i < 5; i++) {
                fail(i, UpstreamFixtures.runner(runner), AttemptOutcome.CONNECT_FAILED);
            }
        }

        assertThat(mTable.status(6).stream().filter(s -> s.health().name().equals("HEALTHY")))
                .hasSize(2);
    }

    private UpstreamId serve(long nowMs, RoutingQuery query) {
        UpstreamChoice choice = mChooser.choose(nowMs, query).get();
        mChooser.onStarted(nowMs, choice);
        mChooser.onFirstToken(nowMs + 20, choice);
        mChooser.onEnded(nowMs + 40, choice, AttemptOutcome.SUCCEEDED);
        return choice.upstream();
    }

    private void fail(long nowMs, UpstreamId upstream, AttemptOutcome outcome) {
        RoutingQuery only = UpstreamFixtures.query();
        for (int i = 0; i < 4; i++) {
            only =
                    UpstreamFixtures.runner(i).equals(upstream)
                            ? only
                            : only.excluding(UpstreamFixtures.runner(i));
        }
        Either<Failure, UpstreamChoice> choice = mChooser.choose(nowMs, only);
        choice.peek(c -> mChooser.onEnded(nowMs, c, outcome));
    }

    private UpstreamId next(long nowMs) {
        return mChooser.choose(nowMs, UpstreamFixtures.query()).get().upstream();
    }

    private static ErrorKind kind(Either<Failure, UpstreamChoice> result) {
        return result.getLeft().kind();
    }
}
