package org.hornbeampass.coordination.slo;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Tests that {@link BurnWindows} counts by window and cause, and merging {@link BurnReport}s. */
class BurnWindowsTest {
    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long START_MS = 100 * 24 * HOUR_MS;

    private final BurnWindows mWindows = new BurnWindows(START_MS, Objectives.defaults());

    @Test
    void report_sumsEachWindowFromItsOwnBuckets() {
        record(START_MS, 100, 10);
        record(START_MS + 50 * MINUTE_MS, 100, 0);
        long nowMs = START_MS + 52 * MINUTE_MS;

        ScopeBurn errors = errors(mWindows.report(nowMs));

        assertThat(errors.counts(BurnWindow.M5)).isEqualTo(new Counts(100, 0));
        assertThat(errors.counts(BurnWindow.M30)).isEqualTo(new Counts(100, 0));
        assertThat(errors.counts(BurnWindow.H1)).isEqualTo(new Counts(200, 10));
        assertThat(errors.counts(BurnWindow.D3)).isEqualTo(new Counts(200, 10));
        assertThat(errors.rate(BurnWindow.H1)).isCloseTo(10 / 210.0 / 0.001, within(1e-6));
    }

    @Test
    void counts_expireFromEachWindow() {
        record(START_MS, 0, 10);

        assertThat(errors(mWindows.report(START_MS + 4 * MINUTE_MS)).counts(BurnWindow.M5).bad())
                .isEqualTo(10);
        assertThat(errors(mWindows.report(START_MS + 5 * MINUTE_MS)).counts(BurnWindow.M5).bad())
                .isZero();
        assertThat(errors(mWindows.report(START_MS + HOUR_MS)).counts(BurnWindow.H1).bad())
                .isZero();
        assertThat(errors(mWindows.report(START_MS + 71 * HOUR_MS)).counts(BurnWindow.D3).bad())
                .isEqualTo(10);
        assertThat(mWindows.report(START_MS + 72 * HOUR_MS).scopes()).isEmpty();
    }

    @Test
    void reusedBucket_isClearedFirst() {
        record(START_MS, 0, 10);
        record(START_MS + 61 * MINUTE_MS, 5, 0);

        ScopeBurn errors = errors(mWindows.report(START_MS + 61 * MINUTE_MS));

        assertThat(errors.counts(BurnWindow.H1)).isEqualTo(new Counts(5, 0));
        assertThat(errors.counts(BurnWindow.H6)).isEqualTo(new Counts(5, 10));
    }

    @Test
    void sampleOlderThanTheRing_isDropped() {
        record(START_MS + 61 * MINUTE_MS, 5, 0);
        record(START_MS, 0, 10);

        assertThat(errors(mWindows.report(START_MS + 61 * MINUTE_MS)).counts(BurnWindow.H1))
                .isEqualTo(new Counts(5, 0));
    }

    @Test
    void organisationOverrides_applyToThatOrganisationOnly() {
        OrganisationId strict = new OrganisationId("strict");
        Objectives objectives =
                new Objectives(
                        Objectives.defaults().general(),
                        Map.of(
                                strict,
                                Map.of(Objective.FIRST_TOKEN, new ObjectiveTerms(100, 0.99))));
        BurnWindows windows = new BurnWindows(START_MS, objectives);
        windows.record(
                START_MS,
                new SloSample(
                        strict,
                        OptionalLong.of(500),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));

        List<ScopeBurn> firstToken =
                windows.report(START_MS).scopes().stream()
                        .filter(s -> s.objective() == Objective.FIRST_TOKEN)
                        .toList();

        assertThat(firstToken)
                .extracting(s -> s.organisation().isPresent(), s -> s.counts(BurnWindow.M5))
                .containsExactlyInAnyOrder(
                        org.assertj.core.groups.Tuple.tuple(false, new Counts(1, 0)),
                        org.assertj.core.groups.Tuple.tuple(true, new Counts(0, 1)));
    }

    @Test
    void organisationsBeyondTheBound_countInTheTotalOnly() {
        for (int i = 0; i < BurnWindows.MAX_SCOPES + 50; i++) {
            mWindows.record(START_MS, sample("o" + i, Optional.empty()));
        }

        BurnReport report = mWindows.report(START_MS);

        assertThat(
                        report.scopes().stream()
                                .filter(s -> s.objective() == Objective.ERRORS)
                                .filter(s -> s.organisation().isPresent()))
                .hasSize(BurnWindows.MAX_SCOPES);
        assertThat(errors(report).counts(BurnWindow.M5).good())
                .isEqualTo(BurnWindows.MAX_SCOPES + 50);
    }

    @Test
    void causes_includeErrorUpstreamAndDomain_mostFrequentFirst() {
        record(START_MS, 0, 3);
        mWindows.record(START_MS, sample("o", Optional.of(ErrorKind.NO_UPSTREAM)));

        List<CauseCount> causes = mWindows.report(START_MS).causes();

        assertThat(causes.get(0).count()).isEqualTo(3);
        assertThat(causes.get(0).cause().error()).contains(ErrorKind.UPSTREAM_FAILED);
        assertThat(causes.get(0).cause().upstream()).contains(new UpstreamId("u1"));
        assertThat(causes.get(0).cause().domain()).contains(new FailureDomain("catania"));
        assertThat(causes.get(1).cause().objective()).isEqualTo(Objective.REFUSALS);
    }

    @Test
    void causesBeyondTheBound_countAsOther() {
        for (int i = 0; i < 100; i++) {
            mWindows.record(START_MS, sample("o" + i, Optional.of(ErrorKind.NO_UPSTREAM)));
        }

        List<CauseCount> causes = mWindows.report(START_MS).causes();

        assertThat(causes.get(0).cause()).isEqualTo(BurnCause.other(Objective.REFUSALS));
        assertThat(causes.get(0).count()).isEqualTo(36);
    }

    @Test
    void merged_sumsCountsOfSeveralRouters() {
        record(START_MS, 90, 10);
        BurnWindows other = new BurnWindows(START_MS + MINUTE_MS, Objectives.defaults());
        other.record(START_MS + MINUTE_MS, sample("o", Optional.empty()));
        long nowMs = START_MS + MINUTE_MS;

        BurnReport merged = BurnReport.merged(List.of(mWindows.report(nowMs), other.report(nowMs)));

        assertThat(errors(merged).counts(BurnWindow.M5)).isEqualTo(new Counts(91, 10));
        assertThat(merged.sinceMs()).isEqualTo(START_MS + MINUTE_MS);
        assertThat(
                        merged.points().stream()
                                .filter(p -> p.objective() == Objective.ERRORS)
                                .filter(p -> p.widthMs() == MINUTE_MS)
                                .map(BurnPoint::counts))
                .containsExactly(new Counts(90, 10), new Counts(1, 0));
    }

    private void record(long nowMs, int good, int bad) {
        for (int i = 0; i < good; i++) {
            mWindows.record(nowMs, sample("o", Optional.empty()));
        }
        for (int i = 0; i < bad; i++) {
            mWindows.record(nowMs, sample("o", Optional.of(ErrorKind.UPSTREAM_FAILED)));
        }
    }

    private static SloSample sample(String organisation, Optional<ErrorKind> error) {
        return new SloSample(
                new OrganisationId(organisation),
                OptionalLong.empty(),
                OptionalLong.empty(),
                error,
                Optional.of(new UpstreamId("u1")),
                Optional.of(new FailureDomain("catania")));
    }

    private static ScopeBurn errors(BurnReport report) {
        return report.scopes().stream()
                .filter(s -> s.objective() == Objective.ERRORS)
                .filter(s -> s.organisation().isEmpty())
                .findFirst()
                .orElseThrow();
    }
}
